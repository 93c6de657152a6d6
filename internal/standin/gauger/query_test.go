package gauger_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/admitter"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/merger"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/standin/gauger"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/target/hedger"
	"apricotflow/internal/target/selector"
	"apricotflow/internal/wire/encoder"
)

func (f *staticConfiguration) Holds(string, string, int) (held, known bool) { return false, false }

// instantRouter answers every sub-query at once.
type instantRouter struct{}

func (instantRouter) Execute(_ context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	for _, q := range queries {
		deliver(newReply(q))
	}
}

func (instantRouter) Cancel([]string) {}

func newReply(q encoder.SubQuery) encoder.SubReply {
	return encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Index: q.Index, Version: q.Version, Shard: q.Shard, Documents: 1 << 30,
		Incarnation: "0123456789abcdef", State: encoder.LoadStateWarm, Outcome: encoder.OutcomeAnswered, Reason: encoder.ReasonNone,
		Hits: []encoder.Hit{{Document: "document-123456", Shard: q.Shard, Score: 0.5}, {Document: "document-654321", Shard: q.Shard, Score: 0.25}},
	}
}

func newSubQueries(n int) []encoder.SubQuery {
	queries := make([]encoder.SubQuery, n)
	for i := range queries {
		queries[i] = encoder.SubQuery{
			Attempt: fmt.Sprintf("%s.0123456789abcdef.%d", self, 1000000+i), Target: fmt.Sprintf("leaf-%04d-01", i), QueryClass: gauger.QueryClass,
			Index: "index", Version: 1, Shard: fmt.Sprintf("shard-%04d", i), Text: "laminating counter", Limit: 10, Idempotent: true, Priority: "urgent", DeadlineMs: 60,
		}
	}
	return queries
}

func BenchmarkExecutor(b *testing.B) {
	for _, size := range [][2]int{{10, 2}, {100, 2}, {970, 2}, {970, 13}} {
		shards, replicas := size[0], size[1]
		b.Run(fmt.Sprintf("shards=%d/replicas=%d", shards, replicas), func(b *testing.B) {
			wire := gauger.NewPlan(replicas, shards*replicas, gauger.UnusedAddress).Manifest
			m, _ := resolver.New(wire, "digest")
			f := &staticConfiguration{manifest: m, members: resolver.NewMembers(encoder.MemberList{})}
			check := newChecker()
			e := executor.New(self, "1", executor.Dependencies{
				Planner: planner.New(f, f), Admitter: admitter.New(1000, discardEvents{}, tally.NoopScope), Router: instantRouter{},
				Selector: selector.New("domain-00", f), Hedger: hedger.New(f, discardEvents{}, check), Events: discardEvents{}, Checker: check, Scope: tally.NoopScope,
			})
			reportTimePerUnit(b, shards, func() {
				reply, err := e.Execute(b.Context(), encoder.QueryRequest{QueryClass: gauger.QueryClass})
				if err != nil || reply.Outcome != encoder.QueryOutcomeComplete {
					b.Fatal(err, reply.Outcome)
				}
			})
		})
	}
}

func BenchmarkMerger(b *testing.B) {
	for _, n := range []int{10, 100, 970} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			queries := newSubQueries(n)
			var shards []encoder.Shard
			var replies []encoder.SubReply
			for _, q := range queries {
				shards, replies = append(shards, encoder.Shard{Name: q.Shard, Documents: 1}), append(replies, newReply(q))
			}
			plan, check := planner.NewPlan(encoder.QueryClass{}, encoder.Snapshot{Index: "index", Version: 1}, shards), newChecker()
			reportTimePerUnit(b, n, func() {
				m := merger.New(plan, check, 10)
				for i, r := range replies {
					m.AddAttempt(r.Attempt, i)
				}
				for _, r := range replies {
					m.AddReply(r)
				}
				m.Result(encoder.ReasonNone)
			})
		})
	}
}

// startPeers connects two messengers and returns the first one. The second one answers batches.
func startPeers(b *testing.B, received *sync.WaitGroup) *messenger.Messenger {
	var addresses sync.Map
	var peers [2]*messenger.Messenger
	for i := range peers {
		name := fmt.Sprint("peer-", i)
		peers[i] = messenger.New(messenger.Identity{Instance: name, Incarnation: "1", FailureDomain: "a"}, "127.0.0.1:0",
			messenger.ResolverFunc(func(instance string) (string, bool) {
				address, found := addresses.Load(instance)
				text, _ := address.(string)
				return text, found
			}), timekeeper.NewHybridClock(time.Now), discardEvents{})
		if err := peers[i].Start(); err != nil {
			b.Fatal(err)
		}
		addresses.Store(name, peers[i].Address())
		b.Cleanup(func() { _ = peers[i].Close(context.Background()) })
	}
	messenger.Handle(peers[1], "execute", func(ctx context.Context, peer messenger.Peer, request encoder.ExecuteRequest) (encoder.ExecuteReply, error) {
		for _, q := range request.Items {
			if err := messenger.Notify(ctx, peers[1], peer.Instance, "deliver", encoder.DeliverMessage{Batch: request.Batch, Reply: newReply(q)}); err != nil {
				return encoder.ExecuteReply{}, err
			}
		}
		return encoder.ExecuteReply{Delivered: len(request.Items)}, nil
	})
	messenger.Handle(peers[0], "deliver", func(context.Context, messenger.Peer, encoder.DeliverMessage) (struct{}, error) {
		received.Done()
		return struct{}{}, nil
	})
	return peers[0]
}

func BenchmarkMessenger(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			var received sync.WaitGroup
			m := startPeers(b, &received)
			request := encoder.ExecuteRequest{Batch: self + ".0123456789abcdef.1", Items: newSubQueries(n)}
			size := len(encoder.Encode(request))
			for _, q := range request.Items {
				size += len(encoder.Encode(encoder.DeliverMessage{Batch: request.Batch, Reply: newReply(q)}))
			}
			// Each call of the function sends 16 batches at the same time, as happens under load.
			reportTimePerUnit(b, 16*n, func() {
				received.Add(16 * n)
				var calls sync.WaitGroup
				for range 16 {
					calls.Go(func() {
						if _, err := messenger.Call[encoder.ExecuteRequest, encoder.ExecuteReply](b.Context(), m, "peer-1", "execute", request); err != nil {
							b.Error(err)
						}
					})
				}
				calls.Wait()
				received.Wait()
			})
			b.ReportMetric(float64(size)/float64(n), "wire-B/unit")
		})
	}
}

// BenchmarkDispatcherExecute runs one sub-query at a time. It includes the cost of the target stand-in, which runs in
// this process.
func BenchmarkDispatcherExecute(b *testing.B) {
	target, err := responder.Start(responder.Settings{
		Name: "leaf-0000-00", Address: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 3, Connections: 40, ColdLimit: 1,
		Versions: []encoder.HeldVersion{{Index: "index", Version: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer target.Close()
	m, _ := resolver.New(gauger.NewPlan(1, 1, func(int) string { return target.Address() }).Manifest, "digest")
	f := &staticConfiguration{manifest: m, members: resolver.NewMembers(encoder.MemberList{})}
	owners := func(string) []dispatcher.OwnerShare { return []dispatcher.OwnerShare{{Instance: self, Slots: 3}} }
	d := dispatcher.New(self, f, owners, func(string, time.Duration) int { return 1 }, discardEvents{}, newChecker())
	q := newSubQueries(1)[0]
	q.Target, q.DeadlineMs = "leaf-0000-00", 5000
	number := 0
	reportTimePerUnit(b, 1, func() {
		number++
		q.Attempt = fmt.Sprint(self, ".1.", number)
		if r := d.Execute(b.Context(), q); r.Outcome != encoder.OutcomeAnswered {
			b.Fatal(r.Reason)
		}
	})
	ctx, cancel := context.WithTimeout(b.Context(), time.Second)
	defer cancel()
	_ = d.Close(ctx)
}

// codec encodes and decodes messages with a fixed number of sub-queries or replies.
type codec struct {
	encodeQueries, encodeReplies func() []byte
	decodeQueries, decodeReplies func([]byte)
}

func decode[T any](raw []byte) {
	if _, err := encoder.Decode[T](raw); err != nil {
		panic(err)
	}
}

// newCodecs returns the JSON codec of the wire types and, for comparison, an experimental binary codec. The latter
// writes the same fields without names, as length-prefixed strings.
func newCodecs(n int) map[string]codec {
	queries := newSubQueries(n)
	replies := make([]encoder.SubReply, n)
	queryFields, replyFields := make([][]string, n), make([][]string, n)
	for i, q := range queries {
		r := newReply(q)
		replies[i] = r
		queryFields[i] = []string{q.Attempt, q.Target, q.QueryClass, q.Index, q.Shard, q.Text, q.Key, q.Priority, "1", "10", "60", "1"}
		replyFields[i] = []string{r.Attempt, r.Target, r.Incarnation, r.Index, r.Shard, string(r.State), string(r.Outcome), string(r.Reason), "1", "1073"}
		for _, h := range r.Hits {
			replyFields[i] = append(replyFields[i], h.Document, h.Shard, "12345678")
		}
	}
	return map[string]codec{
		"json": {
			func() []byte { return encoder.Encode(queries) }, func() []byte { return encoder.Encode(replies) },
			decode[[]encoder.SubQuery], decode[[]encoder.SubReply],
		},
		"binary": {func() []byte { return encodeFields(queryFields) }, func() []byte { return encodeFields(replyFields) }, decodeFields, decodeFields},
	}
}

func encodeFields(items [][]string) []byte {
	b := make([]byte, 0, 200*len(items))
	for _, fields := range items {
		b = binary.AppendUvarint(b, uint64(len(fields)))
		for _, field := range fields {
			b = append(binary.AppendUvarint(b, uint64(len(field))), field...)
		}
	}
	return b
}

func decodeFields(raw []byte) {
	readUvarint := func() uint64 {
		n, size := binary.Uvarint(raw)
		raw = raw[size:]
		return n
	}
	for len(raw) > 0 {
		fields := make([]string, readUvarint())
		for i := range fields {
			n := readUvarint()
			fields[i], raw = string(raw[:n]), raw[n:]
		}
	}
}

// BenchmarkTargetRequest sends the sub-queries of several queries in one HTTP request on a kept connection. It includes
// the cost of both ends, but not of the search. The cases named without-http measure the codec alone.
func BenchmarkTargetRequest(b *testing.B) {
	for _, n := range []int{1, 8, 32, 128} {
		for name, c := range newCodecs(n) {
			b.Run(fmt.Sprintf("codec=%s/batch=%d", name, n), func(b *testing.B) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					raw, _ := io.ReadAll(r.Body)
					c.decodeQueries(raw)
					_, _ = w.Write(c.encodeReplies())
				}))
				defer server.Close()
				size := 0
				reportTimePerUnit(b, n, func() {
					body := c.encodeQueries()
					response, err := http.Post(server.URL, "application/octet-stream", bytes.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					raw, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					c.decodeReplies(raw)
					size = len(body) + len(raw)
				})
				b.ReportMetric(float64(size)/float64(n), "wire-B/unit")
			})
			b.Run(fmt.Sprintf("codec=%s/batch=%d/without-http", name, n), func(b *testing.B) {
				reportTimePerUnit(b, n, func() {
					c.decodeQueries(c.encodeQueries())
					c.decodeReplies(c.encodeReplies())
				})
			})
		}
	}
}
