package driver_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// fakeInstance is an instance that answers queries from the manifest. A test can change its answers.
type fakeInstance struct {
	manifest encoder.Manifest
	change   func(*encoder.QueryReply)
	// target is the address of the target that runs the non-idempotent queries, each once, or once for each request if
	// runTwice is set. If it is empty, no target runs them.
	target   string
	runTwice bool

	mu              sync.Mutex
	lastID          int
	repliesByTicket map[string]encoder.QueryReply
}

func (e *fakeInstance) start(t *testing.T) string {
	t.Helper()
	e.repliesByTicket = make(map[string]encoder.QueryReply)
	router := http.NewServeMux()
	router.HandleFunc("/v1/tickets", replier.Handle(func(encoder.TicketRequest) encoder.TicketReply {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lastID++
		return encoder.TicketReply{Ticket: fmt.Sprint(e.lastID), ExpiresInMs: 1000}
	}))
	router.HandleFunc("/v1/queries", replier.Handle(func(q encoder.QueryRequest) encoder.QueryReply {
		return e.answer(t, q)
	}))
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (e *fakeInstance) answer(t *testing.T, q encoder.QueryRequest) encoder.QueryReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Ticket != nil && !e.runTwice {
		if r, found := e.repliesByTicket[*q.Ticket]; found {
			return r
		}
	}
	c := e.manifest.QueryClasses[slices.IndexFunc(e.manifest.QueryClasses, func(c encoder.QueryClass) bool { return c.Name == q.QueryClass })]
	x := e.manifest.Indexes[slices.IndexFunc(e.manifest.Indexes, func(x encoder.Index) bool { return x.Name == c.Index })]
	shards := x.Versions[0].Shards
	if q.Key != nil {
		shards = shards[:1]
	}
	e.lastID++
	r := encoder.QueryReply{
		Query: fmt.Sprint(e.lastID), Outcome: encoder.QueryOutcomeComplete,
		Snapshot: encoder.Snapshot{Generation: 1, Index: x.Name, Version: 1}, Missing: []encoder.MissingShard{},
	}
	var names []string
	for _, s := range shards {
		names = append(names, s.Name)
		r.Coverage.Documents += s.Documents
	}
	r.Coverage.Shards, r.Coverage.ShardsAnswered, r.Coverage.DocumentsAnswered = len(shards), len(shards), r.Coverage.Documents
	r.Hits = hasher.MergedHits(x.Name, 1, names, *q.Text, *q.Limit)
	if q.Ticket != nil {
		e.run(t, *q.Text, r.Query)
		e.repliesByTicket[*q.Ticket] = r
	}
	if e.change != nil {
		e.change(&r)
	}
	return r
}

func (e *fakeInstance) run(t *testing.T, text, attempt string) {
	if e.target == "" {
		return
	}
	_, err := replier.Post[encoder.SubReply](t.Context(), "http://"+e.target+"/v1/execute", encoder.SubQuery{
		Attempt: attempt, Target: "a1", Index: "jobs", Version: 1, Shard: "s1", Text: text, Limit: 1, DeadlineMs: 5000,
	})
	assert.Check(t, err)
}

func newSettings(t *testing.T, e *fakeInstance) driver.Settings {
	t.Helper()
	plan, err := deployer.New(deployer.DarEsSalaam, 10, nil)
	assert.NilError(t, err)
	e.manifest = plan.Manifest
	address := e.start(t)
	return driver.Settings{
		Manifest: plan.Manifest, CallerAddresses: []string{address, address}, Rate: 200, Duration: time.Second, Seed: 1,
	}
}

// Guards against violations that are reported for correct answers, and against a wrong rate.
func TestCorrectAnswersAreNoViolations(t *testing.T) {
	s := newSettings(t, &fakeInstance{})
	s.ResendPercent = 50
	r := driver.New(s).Run(t.Context())
	assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
	assert.Equal(t, r.Sent, 200)
	assert.Equal(t, r.Outcomes[encoder.QueryOutcomeComplete], 200)
	assert.Equal(t, r.CoverageMinimum, 1.0)
	assert.Assert(t, r.Rate > 100 && r.P50Ms > 0 && r.P99Ms >= r.P50Ms)
	assert.Equal(t, len(r.Classes), len(s.Manifest.QueryClasses))
}

// Guards against false answers that the verification accepts.
func TestFalseAnswersAreViolations(t *testing.T) {
	changes := map[string]func(*encoder.QueryReply){
		"false-hits":       func(r *encoder.QueryReply) { r.Hits[0].Document += "x" },
		"false-coverage":   func(r *encoder.QueryReply) { r.Coverage.DocumentsAnswered-- },
		"unknown-snapshot": func(r *encoder.QueryReply) { r.Snapshot.Version = 2 },
		"false-outcome":    func(r *encoder.QueryReply) { r.Outcome = encoder.QueryOutcomePartial },
		"ticket-answer-differs": func(r *encoder.QueryReply) {
			r.Query += fmt.Sprint(time.Now().UnixNano())
		},
	}
	for kind, change := range changes {
		t.Run(kind, func(t *testing.T) {
			s := newSettings(t, &fakeInstance{change: change, runTwice: true})
			s.Duration, s.ResendPercent = 200*time.Millisecond, 100
			r := driver.New(s).Run(t.Context())
			assert.Assert(t, r.ViolationCount > 0)
			assert.Assert(t, slices.ContainsFunc(r.Violations, func(v driver.Violation) bool { return v.Kind == kind }), "%v", r.Violations)
		})
	}
}

// Guards against a non-idempotent query that ran twice and is not reported, or that ran once and is reported.
func TestRepeatedRunsAreViolations(t *testing.T) {
	for _, runTwice := range []bool{false, true} {
		target, err := responder.Start(responder.Settings{
			Name: "a1", Address: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 1, Connections: 10, ColdLimit: 1,
			Versions: []encoder.HeldVersion{{Index: "jobs", Version: 1}},
		})
		assert.NilError(t, err)
		defer target.Close()
		s := newSettings(t, &fakeInstance{target: target.Address(), runTwice: runTwice})
		s.TargetControlAddresses, s.ResendPercent, s.ClassWeights = []string{target.ControlAddress()}, 100, map[string]int{"order-place": 1}
		s.Rate, s.Duration = 50, 400*time.Millisecond
		r := driver.New(s).Run(t.Context())
		ran := slices.ContainsFunc(r.Violations, func(v driver.Violation) bool { return v.Kind == "ran-more-than-once" })
		assert.Equal(t, ran, runTwice, "%v", r.Violations)
		if !runTwice {
			assert.Equal(t, r.ViolationCount, 0, "%v", r.Violations)
			assert.Equal(t, r.ExtraLoad, 1.0)
		}
	}
}

// Guards against latency that counts from the time of sending, which hides a stall.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	s := newSettings(t, &fakeInstance{change: func(*encoder.QueryReply) { time.Sleep(20 * time.Millisecond) }})
	s.Rate, s.Duration, s.ClassWeights = 200, 500*time.Millisecond, map[string]int{"dispatch-board": 1}
	r := driver.New(s).Run(t.Context())
	// The instance answers one query at a time, so 100 queries of 20 ms each, sent within 0.5 s, queue for up to 1.5 s.
	assert.Assert(t, r.MaxMs > 1000, "longest latency %.0f ms", r.MaxMs)
}

// Guards against queries to an unreachable instance that are missing from the outcomes.
func TestUnreachableInstanceCountsAsNoReply(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	s := newSettings(t, &fakeInstance{})
	s.CallerAddresses, s.ClassWeights, s.Duration = []string{address}, map[string]int{"buyer-search": 1}, 100*time.Millisecond
	r := driver.New(s).Run(t.Context())
	assert.Equal(t, r.Outcomes["no-reply"], r.Sent)
	assert.Equal(t, r.Rate, 0.0)
}
