package messenger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// directory maps instances to addresses.
type directory struct {
	sync.Map
}

func (d *directory) PeerAddress(instance string) (string, bool) {
	value, found := d.Load(instance)
	address, _ := value.(string)
	return address, found
}

type node struct {
	*messenger.Messenger
	clock  *timekeeper.HybridClock
	events *recorder.Recorder
}

func (n *node) count(kind recorder.Kind) int {
	events, _ := n.events.Events(0)
	count := 0
	for _, e := range events {
		if e.Kind == string(kind) {
			count++
		}
	}
	return count
}

// start starts an instance that answers echo, wait and panic.
func start(t *testing.T, d *directory, name string, options ...messenger.Option) *node {
	t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	n := &node{clock: clock, events: recorder.New(name, clock, 100)}
	identity := messenger.Identity{Instance: name, Incarnation: name + "-1", FailureDomain: "a"}
	n.Messenger = messenger.New(identity, "127.0.0.1:0", d, clock, n.events, options...)
	messenger.Handle(n.Messenger, "echo", func(_ context.Context, _ messenger.Peer, r encoder.FetchReply) (encoder.FetchReply, error) {
		return encoder.FetchReply{Value: r.Value}, nil
	})
	messenger.Handle(n.Messenger, "peer", func(_ context.Context, p messenger.Peer, _ encoder.FetchReply) (messenger.Peer, error) {
		return p, nil
	})
	messenger.Handle(n.Messenger, "wait", func(ctx context.Context, _ messenger.Peer, _ encoder.FetchReply) (encoder.FetchReply, error) {
		<-ctx.Done()
		return encoder.FetchReply{}, ctx.Err()
	})
	messenger.Handle(n.Messenger, "panic", func(context.Context, messenger.Peer, encoder.FetchReply) (encoder.FetchReply, error) {
		panic("test")
	})
	assert.NilError(t, n.Start())
	if _, found := d.Load(name); !found {
		d.Store(name, n.Address())
	}
	t.Cleanup(func() { stop(t, n) })
	return n
}

func stop(t *testing.T, n *node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.NilError(t, n.Close(ctx))
}

func call(n *node, instance, method, value string) (encoder.FetchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, n.Messenger, instance, method, encoder.FetchReply{Value: value})
}

// link relays TCP connections until it is frozen: then they stay open and carry nothing.
type link struct {
	listener net.Listener
	frozen   atomic.Bool
	accepted atomic.Int32
}

func newLink(t *testing.T, d *directory, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: listener}
	context.AfterFunc(t.Context(), func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted.Add(1)
			address, _ := d.PeerAddress(to)
			out, err := net.Dial("tcp", address)
			assert.Check(t, err)
			for _, c := range []net.Conn{in, out} {
				context.AfterFunc(t.Context(), func() { _ = c.Close() })
			}
			go l.relay(in, out)
			go l.relay(out, in)
		}
	}()
	return l
}

func (l *link) relay(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for !l.frozen.Load() {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if l.frozen.Load() {
			break
		}
		_, _ = to.Write(buffer[:n])
	}
}

// Two instances that open a connection each, or one for each call, use up connections and split the heartbeat.
func TestOneConnectionServesBothDirections(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a"), start(t, d, "b")
	for range 10 {
		reply, err := call(a, "b", "echo", "x")
		assert.NilError(t, err)
		assert.Equal(t, reply.Value, "x")
	}
	// The other direction uses the same connection even without an address.
	d.Delete("a")
	_, err := call(b, "a", "echo", "x")
	assert.NilError(t, err)
	assert.Equal(t, a.count(recorder.KindPeerConnected), 1)
	assert.Equal(t, b.count(recorder.KindPeerConnected), 1)
}

// Control traffic that is not counted by method and direction grows unnoticed.
func TestTrafficIsCountedByMethod(t *testing.T) {
	d := &directory{}
	scope := tally.NewTestScope("", nil)
	a := start(t, d, "a", messenger.WithScope(scope))
	start(t, d, "b")
	for range 3 {
		_, err := call(a, "b", "echo", strings.Repeat("x", 1000))
		assert.NilError(t, err)
	}
	counters := make(map[string]int64)
	for _, c := range scope.Snapshot().Counters() {
		counters[c.Name()] = c.Value()
	}
	assert.Equal(t, counters["peer-messages-sent-echo"], int64(3))
	assert.Equal(t, counters["peer-messages-sent-hello"], int64(1))
	assert.Equal(t, counters["peer-messages-received-reply"], int64(4))
	assert.Assert(t, counters["peer-bytes-sent-echo"] > 3000 && counters["peer-bytes-sent-echo"] < 4000, "%v", counters)
}

// A handler must know which incarnation of which instance asks, and the clocks must be merged in both directions.
func TestHelloAndClocks(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a"), start(t, d, "b")
	ahead := int(time.Now().Add(time.Hour).UnixMilli()) << 16
	a.clock.Observe(ahead)
	peer, err := messenger.Call[encoder.FetchReply, messenger.Peer](context.Background(), a.Messenger, "b", "peer", encoder.FetchReply{})
	assert.NilError(t, err)
	assert.Equal(t, peer, messenger.Peer{Instance: "a", Incarnation: "a-1", FailureDomain: "a"})
	assert.Assert(t, b.clock.Now() > ahead)
	b.clock.Observe(2 * ahead)
	reply, err := call(a, "b", "echo", "")
	assert.NilError(t, err)
	assert.Assert(t, reply.Clock > 2*ahead)
	assert.Assert(t, a.clock.Now() > reply.Clock)
}

// A request for one instance must not run on another that has taken over its address.
func TestOtherNameIsRefused(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a"), start(t, d, "b")
	d.Store("c", b.Address())
	_, err := call(a, "c", "echo", "")
	var unreachable *messenger.UnreachableError
	var identity *messenger.IdentityError
	assert.Assert(t, errors.As(err, &unreachable))
	assert.Assert(t, errors.As(err, &identity), "%v", err)
	_, err = a.Connect(context.Background(), a.Address())
	assert.Assert(t, errors.As(err, &identity), "%v", err)
}

// A caller that takes a sent request for an unsent one, or the reverse, reports a wrong outcome.
func TestErrorsTellWhetherTheRequestWasSent(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a", messenger.WithSizeLimit(1<<16))
	b := start(t, d, "b")
	var unreachable *messenger.UnreachableError
	var lost *messenger.LostError
	var remote *messenger.RemoteError

	_, err := call(a, "nobody", "echo", "")
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)
	_, err = call(a, "b", "echo", strings.Repeat("x", 1<<17))
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)
	_, err = call(a, "b", "unknown", "")
	assert.Assert(t, errors.As(err, &remote) && remote.Code == messenger.CodeUnknownMethod, "%v", err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, a.Messenger, "b", "wait", encoder.FetchReply{})
	assert.Assert(t, errors.As(err, &lost) && errors.Is(err, context.DeadlineExceeded), "%v", err)
	_, err = messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, a.Messenger, "b", "echo", encoder.FetchReply{})
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)

	done := make(chan error)
	go func() {
		_, err := call(a, "b", "wait", "")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	stop(t, b)
	assert.Assert(t, errors.As(<-done, &lost))
	_, err = call(a, "b", "echo", "")
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)
}

// One failing handler must not take the connection or the process down.
func TestPanicHarmsNoOtherHandler(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a")
	start(t, d, "b")
	var remote *messenger.RemoteError
	for range 5 {
		_, err := call(a, "b", "panic", "")
		assert.Assert(t, errors.As(err, &remote) && remote.Code == messenger.CodePanic, "%v", err)
	}
	_, err := call(a, "b", "echo", "")
	assert.NilError(t, err)
	assert.Equal(t, a.count(recorder.KindPeerLost), 0)
}

// A connection that stays open but carries nothing must be noticed within about 1 s, on both ends, and replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a"), start(t, d, "b")
	l := newLink(t, d, "real-b")
	d.Store("real-b", b.Address())
	d.Store("b", l.listener.Addr().String())
	_, err := call(a, "b", "echo", "")
	assert.NilError(t, err)
	l.frozen.Store(true)
	began := time.Now()
	_, err = call(a, "b", "echo", "")
	var lost *messenger.LostError
	var silent *messenger.SilentError
	assert.Assert(t, errors.As(err, &lost) && errors.As(err, &silent), "%v", err)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
	l.frozen.Store(false)
	time.Sleep(200 * time.Millisecond)
	_, err = call(a, "b", "echo", "")
	assert.NilError(t, err)
	assert.Equal(t, a.count(recorder.KindConnectionSilent), 1)
	assert.Equal(t, l.accepted.Load(), int32(2))
}

// A peer that announces a huge message must not make this instance allocate it.
func TestOversizedMessageClosesTheConnection(t *testing.T) {
	d := &directory{}
	a := start(t, d, "a")
	conn, err := net.Dial("tcp", a.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout())
}

// Two instances that dial each other at the same moment must lose no call and keep one connection.
func TestSimultaneousDialsLoseNoCall(t *testing.T) {
	d := &directory{}
	nodes := []*node{start(t, d, "a"), start(t, d, "b"), start(t, d, "c")}
	var running sync.WaitGroup
	for _, from := range nodes {
		for _, to := range []string{"a", "b", "c"} {
			if from == nodes[int(to[0]-'a')] {
				continue
			}
			for range 8 {
				running.Go(func() {
					for range 50 {
						_, err := call(from, to, "echo", "x")
						assert.Check(t, err == nil, "%v", err)
						time.Sleep(time.Millisecond)
					}
				})
			}
		}
	}
	running.Wait()
	for deadline := time.Now().Add(10 * time.Second); nodes[0].Connections()+nodes[1].Connections()+nodes[2].Connections() > 6; {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
}

// An idle connection must be closed without losing a call that starts at the same moment on either end.
func TestIdleConnectionsCloseWithoutLosingCalls(t *testing.T) {
	d := &directory{}
	options := []messenger.Option{messenger.WithHeartbeat(5*time.Millisecond, time.Second), messenger.WithIdleLimit(time.Millisecond)}
	a, b := start(t, d, "a", options...), start(t, d, "b", options...)
	var running sync.WaitGroup
	for _, from := range []*node{a, b} {
		to := map[*node]string{a: "b", b: "a"}[from]
		running.Go(func() {
			for i := range 200 {
				_, err := call(from, to, "echo", "x")
				assert.Check(t, err == nil, "%v", err)
				time.Sleep(time.Duration(i%13) * time.Millisecond)
			}
		})
	}
	running.Wait()
	for deadline := time.Now().Add(10 * time.Second); a.Connections() > 0; {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, a.count(recorder.KindPeerLost), 0)
}

// An instance that stops must answer the requests that it has already taken.
func TestCloseWaitsForHandlers(t *testing.T) {
	d := &directory{}
	a, b := start(t, d, "a"), start(t, d, "b")
	began := make(chan struct{})
	messenger.Handle(b.Messenger, "slow", func(context.Context, messenger.Peer, encoder.FetchReply) (encoder.FetchReply, error) {
		close(began)
		time.Sleep(200 * time.Millisecond)
		return encoder.FetchReply{Value: "done"}, nil
	})
	done := make(chan error)
	go func() {
		_, err := call(a, "b", "slow", "")
		done <- err
	}()
	<-began
	assert.NilError(t, b.Close(context.Background()))
	assert.NilError(t, <-done)
}
