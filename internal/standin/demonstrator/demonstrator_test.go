package demonstrator_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/commander"
	"apricotflow/internal/standin/demonstrator"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/wire/encoder"
)

// childVariable is the environment variable that makes the test binary act as the programs that a demo starts. Its
// value is the mode of the instances.
const childVariable = "APRICOTFLOW_TEST_CHILD"

const (
	modeCorrect = "correct"
	// modeRunTwice runs a ticket again for each request.
	modeRunTwice = "twice"
)

func TestMain(m *testing.M) {
	mode := os.Getenv(childVariable)
	if mode == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if os.Args[1] == "serve" {
		panicOnError(serve(ctx, os.Args[3], mode))
		return
	}
	panicOnError(commander.New().Run(ctx, os.Args))
}

func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

// fakeInstance is a minimal query tier that sends each sub-query directly to the first replica of its shard.
type fakeInstance struct {
	name, address   string
	runTwice        bool
	manifest        encoder.Manifest
	mu              sync.Mutex
	lastID          int
	repliesByTicket map[string]encoder.QueryReply
}

func serve(ctx context.Context, file, mode string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s, err := encoder.Decode[encoder.Settings](raw)
	if err != nil {
		return err
	}
	n := &fakeInstance{name: s.Instance, address: s.CallerAddress, runTwice: mode == modeRunTwice, repliesByTicket: make(map[string]encoder.QueryReply)}
	if n.manifest, err = replier.Get[encoder.Manifest](ctx, "http://"+s.PlatformAddress+"/v1/values/manifest"); err != nil {
		return err
	}
	router := http.NewServeMux()
	router.HandleFunc("/v1/ready", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/v1/tickets", replier.Handle(func(encoder.TicketRequest) encoder.TicketReply {
		return encoder.TicketReply{Ticket: n.address + "/" + n.nextID(), ExpiresInMs: 1000}
	}))
	router.HandleFunc("/v1/queries", replier.Handle(n.query))
	l, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return err
	}
	replier.Serve(l, &http.Server{Handler: router})
	<-ctx.Done()
	return nil
}

func (n *fakeInstance) nextID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	return fmt.Sprintf("%s.%d", n.name, n.lastID)
}

// query forwards a ticket to its issuer, which runs it once, or for each request if runTwice is set.
func (n *fakeInstance) query(q encoder.QueryRequest) encoder.QueryReply {
	if q.Ticket == nil {
		return n.fanOut(q)
	}
	if issuer, _, _ := strings.Cut(*q.Ticket, "/"); issuer != n.address {
		r, err := replier.Post[encoder.QueryReply](context.Background(), "http://"+issuer+"/v1/queries", q)
		panicOnError(err)
		return r
	}
	n.mu.Lock()
	r, found := n.repliesByTicket[*q.Ticket]
	n.mu.Unlock()
	if found && !n.runTwice {
		return r
	}
	r = n.fanOut(q)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repliesByTicket[*q.Ticket] = r
	return r
}

func (n *fakeInstance) fanOut(q encoder.QueryRequest) encoder.QueryReply {
	m := n.manifest
	c := m.QueryClasses[slices.IndexFunc(m.QueryClasses, func(c encoder.QueryClass) bool { return c.Name == q.QueryClass })]
	x := m.Indexes[slices.IndexFunc(m.Indexes, func(x encoder.Index) bool { return x.Name == c.Index })]
	shards := x.Versions[0].Shards
	if q.Key != nil {
		i := len(*q.Key) % len(shards)
		shards = shards[i : i+1]
	}
	r := encoder.QueryReply{
		Query: n.nextID(), Instance: n.name, Outcome: encoder.QueryOutcomeComplete, Missing: []encoder.MissingShard{},
		Snapshot: encoder.Snapshot{Generation: m.Generation, Index: x.Name, Version: 1},
		Coverage: encoder.Coverage{Shards: len(shards)},
	}
	for _, s := range shards {
		r.Coverage.Documents += s.Documents
		reply := n.execute(q, c, s)
		if reply.Outcome != encoder.OutcomeAnswered {
			r.Outcome = encoder.QueryOutcomePartial
			r.Missing = append(r.Missing, encoder.MissingShard{Shard: s.Name, Outcome: encoder.OutcomeUnknown, Reason: encoder.ReasonTargetError})
			continue
		}
		r.Coverage.ShardsAnswered++
		r.Coverage.DocumentsAnswered += reply.Documents
		r.Hits = append(r.Hits, reply.Hits...)
	}
	slices.SortFunc(r.Hits, func(a, b encoder.Hit) int { return cmp.Compare(b.Score, a.Score) })
	r.Hits = r.Hits[:min(len(r.Hits), *q.Limit)]
	return r
}

func (n *fakeInstance) execute(q encoder.QueryRequest, c encoder.QueryClass, s encoder.Shard) encoder.SubReply {
	for _, service := range n.manifest.Services {
		for _, t := range service.Targets {
			if t.Name != s.Replicas[0] {
				continue
			}
			r, _ := replier.Post[encoder.SubReply](context.Background(), "http://"+t.Address+"/v1/execute", encoder.SubQuery{
				Attempt: n.nextID(), Target: t.Name, QueryClass: c.Name, Index: c.Index, Version: 1, Shard: s.Name,
				Text: *q.Text, Limit: *q.Limit, Idempotent: c.Idempotent, DeadlineMs: c.DeadlineMs,
			})
			return r
		}
	}
	return encoder.SubReply{}
}

func runDemo(t *testing.T, mode string) (string, error) {
	t.Helper()
	own, err := os.Executable()
	assert.NilError(t, err)
	var out bytes.Buffer
	err = demonstrator.Run(t.Context(), demonstrator.Settings{
		Standin: own, Apricotflow: own, Environment: []string{childVariable + "=" + mode},
		Rate: 40, Duration: 2 * time.Second, Seed: 1, Output: &out,
	})
	return out.String(), err
}

// Guards against a demo that fails although the query tier is correct, and against a missing table row for a
// deployment.
func TestDemoPasses(t *testing.T) {
	out, err := runDemo(t, modeCorrect)
	assert.NilError(t, err, out)
	t.Log(out)
	assert.Assert(t, strings.Contains(out, "\nulaanbaatar  ") && strings.Contains(out, "\ndar-es-salaam  "), out)
}

// Guards against a demo that succeeds although a non-idempotent query ran twice.
func TestDemoFailsOnViolations(t *testing.T) {
	out, err := runDemo(t, modeRunTwice)
	var violations *demonstrator.ViolationsError
	assert.Assert(t, errors.As(err, &violations), "%v\n%s", err, out)
	assert.Assert(t, strings.Contains(out, "ran-more-than-once"), out)
}
