package messenger_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
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

// addressBook maps instances to addresses.
type addressBook struct {
	sync.Map
}

func (d *addressBook) PeerAddress(instance string) (string, bool) {
	value, found := d.Load(instance)
	address, _ := value.(string)
	return address, found
}

type testInstance struct {
	*messenger.Messenger
	clock  *timekeeper.HybridClock
	events *recorder.Recorder
}

func (n *testInstance) count(kind recorder.Kind) int {
	events, _ := n.events.Events(0)
	count := 0
	for _, e := range events {
		if e.Kind == string(kind) {
			count++
		}
	}
	return count
}

// start starts an instance that handles echo, peer, wait and panic.
func start(t *testing.T, d *addressBook, name string, options ...messenger.Option) *testInstance {
	t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	n := &testInstance{clock: clock, events: recorder.New(name, clock, 100)}
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

func stop(t *testing.T, n *testInstance) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.NilError(t, n.Close(ctx))
}

func call(n *testInstance, instance, method, value string) (encoder.FetchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, n.Messenger, instance, method, encoder.FetchReply{Value: value})
}

// freezableProxy forwards TCP connections. Those that exist when it is frozen stay open but carry nothing from then on.
type freezableProxy struct {
	listener net.Listener
	frozen   atomic.Bool
	accepted atomic.Int32
}

func newFreezableProxy(t *testing.T, d *addressBook, to string) *freezableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &freezableProxy{listener: listener}
	context.AfterFunc(t.Context(), func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			address, _ := d.PeerAddress(to)
			out, err := net.Dial("tcp", address)
			assert.Check(t, err)
			for _, c := range []net.Conn{in, out} {
				context.AfterFunc(t.Context(), func() { _ = c.Close() })
			}
			go p.copyUntilFrozen(in, out)
			go p.copyUntilFrozen(out, in)
		}
	}()
	return p
}

func (p *freezableProxy) copyUntilFrozen(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for !p.frozen.Load() {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.frozen.Load() {
			break
		}
		_, _ = to.Write(buffer[:n])
	}
}

// Guards against a connection per direction or per call, which uses up connections and needs heartbeats on each.
func TestOneConnectionServesBothDirections(t *testing.T) {
	d := &addressBook{}
	a, b := start(t, d, "a"), start(t, d, "b")
	for range 10 {
		reply, err := call(a, "b", "echo", "x")
		assert.NilError(t, err)
		assert.Equal(t, reply.Value, "x")
	}
	// Without an address for a, only the existing connection can carry the call.
	d.Delete("a")
	_, err := call(b, "a", "echo", "x")
	assert.NilError(t, err)
	assert.Equal(t, a.count(recorder.KindPeerConnected), 1)
	assert.Equal(t, b.count(recorder.KindPeerConnected), 1)
}

// Guards against control traffic that grows unnoticed because it is not counted by method and direction.
func TestTrafficIsCountedByMethodAndDirection(t *testing.T) {
	d := &addressBook{}
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

// Guards against handlers that do not know which incarnation of which instance sent a request, and against clocks that
// are merged in one direction only.
func TestHandlerSeesPeerAndClocksAreMerged(t *testing.T) {
	d := &addressBook{}
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

// Guards against a request for one instance that runs on another one, which has taken over its address.
func TestConnectionIsRefusedWhenInstanceNameDiffers(t *testing.T) {
	d := &addressBook{}
	a, b := start(t, d, "a"), start(t, d, "b")
	d.Store("c", b.Address())
	_, err := call(a, "c", "echo", "")
	var notSent *messenger.NotSentError
	var identity *messenger.IdentityError
	assert.Assert(t, errors.As(err, &notSent))
	assert.Assert(t, errors.As(err, &identity), "%v", err)
	_, err = a.Connect(context.Background(), a.Address())
	assert.Assert(t, errors.As(err, &identity), "%v", err)
}

// Guards against a wrong outcome when a sent request is taken for an unsent one, or the reverse.
func TestErrorTypeTellsWhetherRequestWasSent(t *testing.T) {
	d := &addressBook{}
	a := start(t, d, "a", messenger.WithSizeLimit(1<<16))
	b := start(t, d, "b")
	var notSent *messenger.NotSentError
	var noReply *messenger.NoReplyError
	var remote *messenger.RemoteError

	_, err := call(a, "nobody", "echo", "")
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
	_, err = call(a, "b", "echo", strings.Repeat("x", 1<<17))
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
	_, err = call(a, "b", "unknown", "")
	assert.Assert(t, errors.As(err, &remote) && remote.Code == messenger.CodeUnknownMethod, "%v", err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, a.Messenger, "b", "wait", encoder.FetchReply{})
	assert.Assert(t, errors.As(err, &noReply) && errors.Is(err, context.DeadlineExceeded), "%v", err)
	_, err = messenger.Call[encoder.FetchReply, encoder.FetchReply](ctx, a.Messenger, "b", "echo", encoder.FetchReply{})
	assert.Assert(t, errors.As(err, &notSent), "%v", err)

	done := make(chan error)
	go func() {
		_, err := call(a, "b", "wait", "")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	stop(t, b)
	assert.Assert(t, errors.As(<-done, &noReply))
	_, err = call(a, "b", "echo", "")
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

// Guards against a panicking handler that ends the connection or the process.
func TestConnectionSurvivesHandlerPanic(t *testing.T) {
	d := &addressBook{}
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

// Guards against a connection that stays open but carries nothing and blocks calls. It must be detected within about 1
// s and replaced.
func TestConnectionIsReplacedWhenSilent(t *testing.T) {
	d := &addressBook{}
	a, b := start(t, d, "a"), start(t, d, "b")
	p := newFreezableProxy(t, d, "real-b")
	d.Store("real-b", b.Address())
	d.Store("b", p.listener.Addr().String())
	_, err := call(a, "b", "echo", "")
	assert.NilError(t, err)
	p.frozen.Store(true)
	began := time.Now()
	_, err = call(a, "b", "echo", "")
	var noReply *messenger.NoReplyError
	var silent *messenger.SilentError
	assert.Assert(t, errors.As(err, &noReply) && errors.As(err, &silent), "%v", err)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
	p.frozen.Store(false)
	time.Sleep(200 * time.Millisecond)
	_, err = call(a, "b", "echo", "")
	assert.NilError(t, err)
	assert.Equal(t, a.count(recorder.KindConnectionSilent), 1)
	assert.Equal(t, p.accepted.Load(), int32(2))
}

// Guards against the allocation of a huge message that a peer announces by its length prefix.
func TestConnectionClosesWhenAnnouncedMessageIsTooLarge(t *testing.T) {
	d := &addressBook{}
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

// Guards against lost calls and duplicate connections when two instances dial each other at the same time.
func TestSimultaneousDialsLoseNoCall(t *testing.T) {
	d := &addressBook{}
	nodes := []*testInstance{start(t, d, "a"), start(t, d, "b"), start(t, d, "c")}
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

// Guards against a call that is lost because either end starts it at the moment when the idle connection is closed.
func TestIdleConnectionsCloseWithoutLosingCalls(t *testing.T) {
	d := &addressBook{}
	options := []messenger.Option{messenger.WithHeartbeat(5*time.Millisecond, time.Second), messenger.WithIdleTimeout(time.Millisecond)}
	a, b := start(t, d, "a", options...), start(t, d, "b", options...)
	var running sync.WaitGroup
	for _, from := range []*testInstance{a, b} {
		to := map[*testInstance]string{a: "b", b: "a"}[from]
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

// Guards against a stopping instance that does not reply to the requests that it has already accepted.
func TestCloseWaitsForRunningHandlers(t *testing.T) {
	d := &addressBook{}
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

// Guards against memory that is kept for connections of which nobody knows where they lead: their first message is hello,
// which is small. A silent connection is closed after 800 ms.
func TestLargeFirstMessageIsRefused(t *testing.T) {
	n := start(t, &addressBook{}, "a")
	conn, err := net.Dial("tcp", n.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(binary.AppendUvarint(nil, 1<<20))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err = io.Copy(io.Discard, conn)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "connection was not closed")
}
