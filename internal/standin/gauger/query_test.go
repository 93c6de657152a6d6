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

func (f *fixed) Holds(string, string, int) (held, known bool) { return false, false }

// instant answers every sub-query at once.
type instant struct{}

func (instant) Execute(_ context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	for _, q := range queries {
		deliver(answer(q))
	}
}

func (instant) Cancel([]string) {}

func answer(q encoder.SubQuery) encoder.SubReply {
	return encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Index: q.Index, Version: q.Version, Shard: q.Shard, Documents: 1 << 30,
		Incarnation: "0123456789abcdef", State: encoder.LoadStateWarm, Outcome: encoder.OutcomeAnswered, Reason: encoder.ReasonNone,
		Hits: []encoder.Hit{{Document: "document-123456", Shard: q.Shard, Score: 0.5}, {Document: "document-654321", Shard: q.Shard, Score: 0.25}},
	}
}

func subQueries(n int) []encoder.SubQuery {
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
			wire := gauger.Plan(replicas, shards*replicas, gauger.UnusedAddress).Manifest
			m, _ := resolver.New(wire, "digest")
			f := &fixed{manifest: m, members: resolver.NewMembers(encoder.MemberList{})}
			check := newChecker()
			e := executor.New(self, "1", executor.Parts{
				Planner: planner.New(f, f), Admitter: admitter.New(1000, noEvents{}, tally.NoopScope), Router: instant{},
				Selector: selector.New("domain-00", f), Hedger: hedger.New(f, noEvents{}, check), Events: noEvents{}, Checker: check, Scope: tally.NoopScope,
			})
			perUnit(b, shards, func() {
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
			queries := subQueries(n)
			var shards []encoder.Shard
			var replies []encoder.SubReply
			for _, q := range queries {
				shards, replies = append(shards, encoder.Shard{Name: q.Shard, Documents: 1}), append(replies, answer(q))
			}
			plan, check := planner.NewPlan(encoder.QueryClass{}, encoder.Snapshot{Index: "index", Version: 1}, shards), newChecker()
			perUnit(b, n, func() {
				m := merger.New(plan, check, 10)
				for i, r := range replies {
					m.Open(r.Attempt, i)
				}
				for _, r := range replies {
					m.Accept(r)
				}
				m.Result(encoder.ReasonNone)
			})
		})
	}
}

// startPeers returns two connected messengers; the second answers batches.
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
			}), timekeeper.NewHybridClock(time.Now), noEvents{})
		if err := peers[i].Start(); err != nil {
			b.Fatal(err)
		}
		addresses.Store(name, peers[i].Address())
		b.Cleanup(func() { _ = peers[i].Close(context.Background()) })
	}
	messenger.Handle(peers[1], "execute", func(ctx context.Context, peer messenger.Peer, request encoder.ExecuteRequest) (encoder.ExecuteReply, error) {
		for _, q := range request.Items {
			if err := messenger.Notify(ctx, peers[1], peer.Instance, "deliver", encoder.DeliverMessage{Batch: request.Batch, Reply: answer(q)}); err != nil {
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
			request := encoder.ExecuteRequest{Batch: self + ".0123456789abcdef.1", Items: subQueries(n)}
			size := len(encoder.Encode(request))
			for _, q := range request.Items {
				size += len(encoder.Encode(encoder.DeliverMessage{Batch: request.Batch, Reply: answer(q)}))
			}
			// Several batches run at the same time, as they do under load; each counts as one round.
			perUnit(b, 16*n, func() {
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

// BenchmarkTarget includes the target stand-in, which is in this process.
func BenchmarkTarget(b *testing.B) {
	target, err := responder.Start(responder.Settings{
		Name: "leaf-0000-00", Address: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 3, Connections: 40, ColdLimit: 1,
		Versions: []encoder.HeldVersion{{Index: "index", Version: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer target.Close()
	m, _ := resolver.New(gauger.Plan(1, 1, func(int) string { return target.Address() }).Manifest, "digest")
	f := &fixed{manifest: m, members: resolver.NewMembers(encoder.MemberList{})}
	owners := func(string) []dispatcher.Share { return []dispatcher.Share{{Instance: self, Slots: 3}} }
	d := dispatcher.New(self, f, owners, func(string, time.Duration) int { return 1 }, noEvents{}, newChecker())
	q := subQueries(1)[0]
	q.Target, q.DeadlineMs = "leaf-0000-00", 5000
	number := 0
	perUnit(b, 1, func() {
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

// codec writes and reads the sub-queries and replies of one leaf request.
type codec struct {
	name         string
	writeQueries func([]encoder.SubQuery) []byte
	readQueries  func([]byte) []encoder.SubQuery
	writeReplies func([]encoder.SubReply) []byte
	readReplies  func([]byte) []encoder.SubReply
}

func decode[T any](raw []byte) T {
	value, err := encoder.Decode[T](raw)
	if err != nil {
		panic(err)
	}
	return value
}

var codecs = []codec{
	{"json", encoder.Encode[[]encoder.SubQuery], decode[[]encoder.SubQuery], encoder.Encode[[]encoder.SubReply], decode[[]encoder.SubReply]},
	{"binary", writeQueries, readQueries, writeReplies, readReplies},
}

// field is one field of the trial binary form: a length-prefixed string, or a number.
func putString(b []byte, texts ...string) []byte {
	for _, text := range texts {
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	return b
}

func putNumber(b []byte, numbers ...int) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, uint64(n))
	}
	return b
}

type reader struct{ rest []byte }

func (r *reader) number() int {
	n, size := binary.Uvarint(r.rest)
	r.rest = r.rest[size:]
	return int(n)
}

func (r *reader) text() string {
	n := r.number()
	text := string(r.rest[:n])
	r.rest = r.rest[n:]
	return text
}

func writeQueries(queries []encoder.SubQuery) []byte {
	b := putNumber(make([]byte, 0, 160*len(queries)), len(queries))
	for _, q := range queries {
		b = putString(b, q.Attempt, q.Target, q.QueryClass, q.Index, q.Shard, q.Text, q.Key, q.Priority)
		b = putNumber(b, q.Version, q.Limit, q.DeadlineMs, 1)
	}
	return b
}

func readQueries(raw []byte) []encoder.SubQuery {
	r := reader{raw}
	queries := make([]encoder.SubQuery, r.number())
	for i := range queries {
		q := &queries[i]
		for _, field := range []*string{&q.Attempt, &q.Target, &q.QueryClass, &q.Index, &q.Shard, &q.Text, &q.Key, &q.Priority} {
			*field = r.text()
		}
		q.Version, q.Limit, q.DeadlineMs, q.Idempotent = r.number(), r.number(), r.number(), r.number() == 1
	}
	return queries
}

func writeReplies(replies []encoder.SubReply) []byte {
	b := putNumber(make([]byte, 0, 240*len(replies)), len(replies))
	for _, q := range replies {
		b = putString(b, q.Attempt, q.Target, q.Incarnation, q.Index, q.Shard, string(q.State), string(q.Outcome), string(q.Reason))
		b = putNumber(b, q.Version, q.Documents, len(q.Hits))
		for _, h := range q.Hits {
			b = putNumber(putString(b, h.Document, h.Shard), int(h.Score*1e6))
		}
	}
	return b
}

func readReplies(raw []byte) []encoder.SubReply {
	r := reader{raw}
	replies := make([]encoder.SubReply, r.number())
	for i := range replies {
		q := &replies[i]
		q.Attempt, q.Target, q.Incarnation, q.Index, q.Shard = r.text(), r.text(), r.text(), r.text(), r.text()
		q.State, q.Outcome, q.Reason = encoder.LoadState(r.text()), encoder.Outcome(r.text()), encoder.Reason(r.text())
		q.Version, q.Documents, q.Hits = r.number(), r.number(), make([]encoder.Hit, r.number())
		for j := range q.Hits {
			q.Hits[j] = encoder.Hit{Document: r.text(), Shard: r.text(), Score: float64(r.number()) / 1e6}
		}
	}
	return replies
}

// BenchmarkLeafRequest sends the sub-queries of several queries in one HTTP request on a kept connection. It includes
// both ends, without the search itself.
func BenchmarkLeafRequest(b *testing.B) {
	for _, c := range codecs {
		for _, n := range []int{1, 8, 32, 128} {
			b.Run(fmt.Sprintf("codec=%s/batch=%d", c.name, n), func(b *testing.B) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					raw, _ := io.ReadAll(r.Body)
					queries := c.readQueries(raw)
					replies := make([]encoder.SubReply, len(queries))
					for i, q := range queries {
						replies[i] = answer(q)
					}
					_, _ = w.Write(c.writeReplies(replies))
				}))
				defer server.Close()
				queries, size := subQueries(n), 0
				perUnit(b, n, func() {
					body := c.writeQueries(queries)
					response, err := http.Post(server.URL, "application/octet-stream", bytes.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					raw, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if len(c.readReplies(raw)) != n {
						b.Fatal("replies are missing")
					}
					size = len(body) + len(raw)
				})
				b.ReportMetric(float64(size)/float64(n), "wire-B/unit")
			})
		}
	}
}

// BenchmarkCodec is the part of BenchmarkLeafRequest without HTTP: both messages are written and read once.
func BenchmarkCodec(b *testing.B) {
	for _, c := range codecs {
		for _, n := range []int{1, 32} {
			b.Run(fmt.Sprintf("codec=%s/batch=%d", c.name, n), func(b *testing.B) {
				queries := subQueries(n)
				var replies []encoder.SubReply
				for _, q := range queries {
					replies = append(replies, answer(q))
				}
				perUnit(b, n, func() {
					c.readQueries(c.writeQueries(queries))
					c.readReplies(c.writeReplies(replies))
				})
			})
		}
	}
}
