package gauger_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/delegator"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

// The query and the instances of the deployment in which queries are delegated.
const (
	queryParts     = 90
	replicas       = 3
	answerRecords  = 50
	recordBytes    = 16
	instanceCount  = 145
	smallCapacity  = 134
	largeCapacity  = 800
	signatureBytes = 43
	gcPercent      = 400
)

// relayingInstances lists the other instances: a large one, which is the only one that may get queries, and small ones.
type relayingInstances []enroller.Capacity

func newRelayingInstances() relayingInstances {
	var others relayingInstances
	for i := range instanceCount - 1 {
		c := enroller.Capacity{Instance: fmt.Sprintf("entry-%03d", i), FailureDomain: fmt.Sprint("zone-", i%3), Thousandths: smallCapacity}
		if i == 0 {
			c.Thousandths = largeCapacity
		}
		others = append(others, c)
	}
	return others
}

func (r relayingInstances) Capacities() []enroller.Capacity { return r }

func (r relayingInstances) InstanceEstimate() int { return instanceCount }

func (r relayingInstances) CountInstancesIn(string) int { return instanceCount / 3 }

func (r relayingInstances) CountPreceding(string) int { return 0 }

func (r relayingInstances) OtherInstances() []string { return nil }

// noPeers is a concentrator without other instances, so that all parts are sent by the instance that runs the query.
type noPeers struct{}

func (noPeers) ChoosePeer(string, int, *transporter.Request) (string, bool) { return "", false }

func (noPeers) UsablePeers(string, []string, *transporter.Request) []string { return nil }

func (noPeers) Send(context.Context, concentrator.Batch, func(concentrator.PartialResults)) {}

// relayingInstance is an instance in relay mode with its targets at one address.
type relayingInstance struct {
	receiver  *receiver.Receiver
	messenger *messenger.Messenger
}

// startRelayingInstance starts an instance of the given capacity. Other instances are at the address peer.
func startRelayingInstance(b *testing.B, capacity int, targets, peer string) *relayingInstance {
	b.Helper()
	// Instances in relay mode run with this value.
	previous := debug.SetGCPercent(gcPercent)
	b.Cleanup(func() { debug.SetGCPercent(previous) })
	least, top := 0.9, answerRecords
	route := encoder.Route{
		Name: "search", Host: "shop.example", Prefix: "/search/", Idempotent: true, TimeoutMs: 2500, ObjectiveMs: 40, MaxTargets: 2, LeastShare: &least, TopRecords: &top,
	}
	table := encoder.RoutingTable{Version: 1}
	change := registrar.Change{Position: registrar.Position{Revision: 1}}
	for i := range queryParts {
		service := fmt.Sprintf("shard-%02d", i)
		route.Shards = append(route.Shards, service)
		table.Services = append(table.Services, encoder.RouteService{Name: service, MaxConnections: 200})
		for n := range replicas {
			change.Put = append(change.Put, registrar.Target{
				ID: fmt.Sprintf("i-%02d%d", i, n), Service: service, Address: targets, FailureDomain: fmt.Sprint("zone-", n), Slots: 4,
			})
		}
	}
	table.Routes = append(table.Routes, route)
	var problems any
	change.Table, problems = func() (*mapper.Table, any) { t, p := mapper.New(table); return t, p }()
	if change.Table == nil {
		b.Fatal(problems)
	}
	state := registrar.New()
	state.Apply(change, true)
	quiet := log.New(io.Discard)
	own := enroller.Capacity{Instance: "self", FailureDomain: "zone-0", Thousandths: capacity}
	others := newRelayingInstances()
	placed, assigned := placer.New(own), placer.NewAssigner(own, others, func() *mapper.Table { return state.View().Table() })
	limits := throttler.New(others.InstanceEstimate)
	pick := picker.New(picker.ColdLimits{Factor: 1}, others, "zone-0", picker.WithLimits(limits), picker.WithAssignment(assigned))
	budget := budgeter.New(budgeter.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, others.InstanceEstimate)
	send := sender.New("zone-0", state, pick, budget, limits, transporter.New(platform.TargetHeaders{}), prober.New(state, quiet), quiet, tally.NoopScope)
	m := messenger.New(messenger.Identity{Instance: "self", Incarnation: "1", FailureDomain: "zone-0"}, "127.0.0.1:0",
		messenger.ResolverFunc(func(string) (string, bool) { return peer, true }), timekeeper.NewHybridClock(time.Now), discardEvents{})
	delegate := delegator.New(others, quiet, tally.NoopScope, delegator.WithWork(send.InProgress))
	delegate.Attach(m)
	relay := relayer.New(send, noPeers{}, tally.NoopScope, relayer.WithPlacement(placed, others, delegate), relayer.WithHolders(assigned))
	rc := receiver.New(platform.CallerHeaders{}, state, relay, 1000, quiet, tally.NoopScope)
	delegate.SetServer(rc)
	if err := m.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = m.Close(ctx)
	})
	return &relayingInstance{receiver: rc, messenger: m}
}

// serveConnections serves each connection in a goroutine and returns the address.
func serveConnections(b *testing.B, serve func(conn net.Conn, in *bufio.Reader)) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReaderSize(conn, 64<<10))
			}()
		}
	}()
	return l.Addr().String()
}

func newRecords() []byte {
	records := make([]byte, answerRecords*recordBytes)
	for i := range records {
		records[i] = byte(i * 7)
	}
	return records
}

// startCheapTargets starts a server that answers each request of any target without decoding it.
func startCheapTargets(b *testing.B) string {
	idPrefix := []byte(platform.HeaderRequestID + ": ")
	reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 21:00:00 GMT\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\nKeep-Alive: timeout=30\r\n%s: 1,0,4\r\n%s: %s\r\n%s: ",
		answerRecords*recordBytes, platform.HeaderLoad, platform.HeaderSignature, strings.Repeat("s", signatureBytes), platform.HeaderRequestID)
	records := newRecords()
	return serveConnections(b, func(conn net.Conn, in *bufio.Reader) {
		var raw, id []byte
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if value, found := bytes.CutPrefix(line, idPrefix); found {
				id = append(id[:0], value...)
			}
			if len(line) > len("\r\n") {
				continue
			}
			raw = append(append(append(append(raw[:0], reply...), id...), "\r\n"...), records...)
			if _, err := conn.Write(raw); err != nil {
				return
			}
		}
	})
}

// writeFrame writes a message as instances exchange them.
func writeFrame(conn net.Conn, message []byte) error {
	raw := binary.AppendUvarint(make([]byte, 0, len(message)+binary.MaxVarintLen64), uint64(len(message)))
	_, err := conn.Write(append(raw, message...))
	return err
}

// readFrame reads a message into the buffer, which it returns.
func readFrame(in *bufio.Reader, buffer []byte) ([]byte, error) {
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, err
	}
	if uint64(cap(buffer)) < size {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	_, err = io.ReadFull(in, buffer)
	return buffer, err
}

// helloOf returns the hello message of an instance.
func helloOf(name string) encoder.HelloMessage {
	return encoder.HelloMessage{Instance: name, Incarnation: "1", FailureDomain: "zone-0", PeerAddress: "127.0.0.1:9"}
}

// startCheapHelper starts an instance that answers each delegated query without decoding it.
func startCheapHelper(b *testing.B) string {
	signatures := strings.TrimSuffix(strings.Repeat(strings.Repeat("s", signatureBytes)+"\n", queryParts), "\n")
	inProgress := 0
	answer := encoder.Encode(encoder.DelegatedAnswer{
		Accepted: true, Outcome: string(relayer.Merged), Signatures: signatures, Body: base64.StdEncoding.EncodeToString(newRecords()),
		BodyBytes: answerRecords * recordBytes, InProgress: &inProgress,
	})
	hello := encoder.Encode(helloOf("entry-000"))
	return serveConnections(b, func(conn net.Conn, in *bufio.Reader) {
		var buffer []byte
		for {
			var err error
			if buffer, err = readFrame(in, buffer); err != nil {
				return
			}
			i := bytes.Index(buffer, []byte(`"id":`))
			if i < 0 {
				continue
			}
			id := buffer[i+len(`"id":`):]
			id = id[:bytes.IndexAny(id, ",}")]
			result := answer
			switch {
			case bytes.Contains(buffer[:60], []byte("hello")):
				result = hello
			case !bytes.Contains(buffer[:60], []byte("relay-request")):
				result = []byte("{}")
			}
			if err := writeFrame(conn, fmt.Appendf(nil, `{"id":%s,"result":%s,"jsonrpc":"2.0"}`, id, result)); err != nil {
				return
			}
		}
	})
}

// queryHead is the request of a caller. It has a number in the place of %s.
const queryHead = "GET /search/products?q=laminating+counter&page=1 HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: storefront/4.2\r\nAccept: application/octet-stream\r\n" +
	"Accept-Encoding: identity\r\nX-Forwarded-For: 10.11.12.13\r\n" + platform.HeaderRequestID + ": 0123456789abcdef-%s\r\n"

// BenchmarkDelegatedQueryAtEntry measures an instance that receives a query of 90 parts, delegates it and answers. It includes
// the sending and receiving of a caller and another instance that decode nothing.
func BenchmarkDelegatedQueryAtEntry(b *testing.B) {
	n := startRelayingInstance(b, smallCapacity, "127.0.0.1:9", startCheapHelper(b))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = n.receiver.Serve(l) }()
	b.Cleanup(func() { _ = n.receiver.Stop(b.Context()) })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in, number := bufio.NewReader(conn), 0
	reportTimePerUnit(b, queryParts, func() {
		number++
		if _, err := fmt.Fprintf(conn, queryHead+"\r\n", fmt.Sprint(number)); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		size, _ := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || size != answerRecords*recordBytes {
			b.Fatal(response.Status, size)
		}
	})
}

// BenchmarkDelegatedQueryAtHelper measures an instance that runs a delegated query of 90 parts. It includes the sending and
// receiving of targets and another instance that decode nothing.
func BenchmarkDelegatedQueryAtHelper(b *testing.B) {
	n := startRelayingInstance(b, largeCapacity, startCheapTargets(b), "127.0.0.1:9")
	conn, err := net.Dial("tcp", n.messenger.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in, number := bufio.NewReaderSize(conn, 64<<10), 0
	var buffer []byte
	call := func(method string, params any) []byte {
		number++
		encoded, err := json.Marshal(params)
		if err == nil {
			err = writeFrame(conn, fmt.Appendf(nil, `{"method":%q,"params":%s,"id":%d,"jsonrpc":"2.0"}`, method, encoded, number))
		}
		if err != nil {
			b.Fatal(err)
		}
		for {
			if buffer, err = readFrame(in, buffer); err != nil {
				b.Fatal(err)
			}
			if !bytes.Contains(buffer[:min(len(buffer), 40)], []byte(`"method"`)) {
				return buffer
			}
		}
	}
	call("hello", helloOf("entry-001"))
	request := encoder.DelegatedRequest{Version: 1, LeftMs: 2000}
	due, wide := 2_000_000, true
	request.DueUs, request.Wide = &due, &wide
	reportTimePerUnit(b, queryParts, func() {
		request.Id = fmt.Sprint(number)
		request.RequestId = "0123456789abcdef-" + request.Id
		request.Head = base64.StdEncoding.EncodeToString(fmt.Appendf(nil, queryHead, request.Id))
		if reply := call("relay-request", request); !bytes.Contains(reply, []byte(`"outcome":"merged"`)) || !bytes.Contains(reply, []byte(`"missing":0`)) {
			b.Fatalf("%.200s", reply)
		}
	})
}
