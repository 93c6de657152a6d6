// Package driver sends queries to the entry instances and verifies every answer.
package driver

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotflow/internal/wire/encoder"
)

const (
	// hitLimit is the number of hits that queries ask for.
	hitLimit = 10
	// texts and keys bound the number of different idempotent texts and of keys.
	texts, keys = 1000, 100
	// patience is how long the driver waits beyond the deadline of a query.
	patience = 2 * time.Second
	// histogramMax and histogramDigits give the range, in microseconds, and the precision of latencies.
	histogramMax, histogramDigits = 60_000_000, 3
)

// Settings describe one run.
type Settings struct {
	Manifest encoder.Manifest
	// Newest returns the newest manifest; it is called for an answer from a version that is not known yet, and
	// may be nil.
	Newest func() encoder.Manifest
	// Entries are the caller addresses of the instances.
	Entries []string
	// Balancer chooses among the entries that are ready; it may be nil.
	Balancer *Balancer
	// Observe is called for each query after its last reply, from several goroutines at a time; it may be nil.
	Observe func(Observation)
	// Targets are the control addresses of the targets; without them the extra load and the runs of
	// non-idempotent queries stay unknown.
	Targets []string
	// Admins are the addresses for operators of the instances; their counters are summed up.
	Admins []string
	// Mix holds the weight of each query class; by default urgent classes have the greatest.
	Mix map[string]int
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// ResendPercent of the answered tickets are sent again to another instance.
	ResendPercent int
	// Latency is the one-way latency between callers and instances.
	Latency time.Duration
}

// Observation is what a caller saw of one query.
type Observation struct {
	// At is the intended time of the query; Latency counts from it.
	At      time.Time
	Latency time.Duration
	Outcome encoder.QueryOutcome
	// Coverage is 0 without an answer.
	Coverage float64
}

// Driver is one run.
type Driver struct {
	settings Settings
	client   *http.Client
	classes  []encoder.QueryClass
	// run makes the texts of non-idempotent queries unique over all runs.
	run string

	mu        sync.Mutex
	random    *rand.Rand
	maps      *shardMaps
	histogram *hdrhistogram.Histogram
	result    Result
	coverage  float64
	covered   int
	classHdr  map[string]*hdrhistogram.Histogram
	// tickets hold what callers were told about each non-idempotent text.
	tickets map[string]*ticketRecord
}

// ticketRecord is what callers were told about one non-idempotent query.
type ticketRecord struct {
	// outcomes has one entry for each time that the query was sent.
	outcomes []encoder.QueryOutcome
	first    *encoder.QueryReply
}

// NoReply is the outcome of a query, and the code of a request, without a typed reply.
const NoReply encoder.QueryOutcome = "no-reply"

// New prepares a run.
func New(s Settings) *Driver {
	d := &Driver{
		settings:  s,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		run:       fmt.Sprintf("%x", time.Now().UnixNano()),
		random:    rand.New(rand.NewPCG(s.Seed, 1)),
		maps:      newShardMaps(),
		histogram: hdrhistogram.New(1, histogramMax, histogramDigits),
		classHdr:  make(map[string]*hdrhistogram.Histogram),
		tickets:   make(map[string]*ticketRecord),
		result: Result{
			Outcomes: make(map[encoder.QueryOutcome]int), Codes: make(map[string]int), Classes: make(map[string]ClassResult),
			CoverageMinimum: 1,
		},
	}
	d.maps.add(s.Manifest)
	for _, c := range s.Manifest.QueryClasses {
		for range d.weight(c) {
			d.classes = append(d.classes, c)
		}
	}
	return d
}

func (d *Driver) weight(c encoder.QueryClass) int {
	if d.settings.Mix != nil {
		return d.settings.Mix[c.Name]
	}
	switch c.Priority {
	case encoder.QueryClassPriorityUrgent:
		return 5
	case encoder.QueryClassPriorityNormal:
		return 3
	default:
		return 1
	}
}

// intent is one query before it is sent.
type intent struct {
	class    encoder.QueryClass
	text     string
	key      string
	entry    string
	resendTo string
	resend   bool
	at       time.Time
}

// Run sends queries at the fixed rate, waits for all answers and returns the result. The latency of a query counts
// from its intended time, so that a slow system does not hide its delay by receiving fewer queries.
func (d *Driver) Run(ctx context.Context) Result {
	before := d.readTargets(ctx)
	began := time.Now()
	var running sync.WaitGroup
	count := int(d.settings.Rate * d.settings.Duration.Seconds())
	for i := range count {
		at := began.Add(time.Duration(float64(i) / d.settings.Rate * float64(time.Second)))
		if !sleepUntil(ctx, at) {
			break
		}
		n := d.draw(i, at)
		running.Go(func() { d.send(ctx, n) })
	}
	running.Wait()
	d.client.CloseIdleConnections()
	return d.finish(ctx, before, time.Since(began))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Driver) draw(i int, at time.Time) intent {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := intent{class: d.classes[d.random.IntN(len(d.classes))], at: at}
	n.text = fmt.Sprintf("text %d", d.random.IntN(texts))
	if !n.class.Idempotent {
		n.text = fmt.Sprintf("order %s.%d", d.run, i)
	}
	n.key = fmt.Sprintf("key %d", d.random.IntN(keys))
	entries := d.settings.Balancer.ready(d.settings.Entries)
	entry := d.random.IntN(len(entries))
	n.entry = entries[entry]
	n.resendTo = entries[(entry+1)%len(entries)]
	n.resend = d.random.IntN(100) < d.settings.ResendPercent
	d.result.Sent++
	return n
}

func (d *Driver) send(ctx context.Context, n intent) {
	limit := hitLimit
	q := encoder.QueryRequest{QueryClass: n.class.Name, Text: &n.text, Limit: &limit}
	if n.class.Routing == encoder.QueryClassRoutingKey {
		q.Key = &n.key
	}
	if n.class.Idempotent {
		reply, outcome := d.query(ctx, n, n.entry, q)
		d.record(n, reply, outcome)
		return
	}
	ticket, ok := d.takeTicket(ctx, n)
	if !ok {
		d.record(n, nil, encoder.QueryOutcomeNotRun)
		return
	}
	q.Ticket = &ticket
	reply, outcome := d.query(ctx, n, n.entry, q)
	d.recordTicket(n, reply, outcome)
	if reply == nil || n.resend {
		again, next := d.query(ctx, n, n.resendTo, q)
		d.recordTicket(n, again, next)
		if reply == nil {
			reply, outcome = again, next
		}
	}
	d.record(n, reply, outcome)
}

func (d *Driver) takeTicket(ctx context.Context, n intent) (string, bool) {
	status, raw, err := d.post(ctx, n, n.entry, "/v1/tickets", encoder.Encode(encoder.TicketRequest{QueryClass: n.class.Name}))
	if err != nil {
		d.code(string(NoReply))
		return "", false
	}
	if status != http.StatusOK && status != http.StatusCreated {
		d.code("no-ticket")
		return "", false
	}
	reply, err := encoder.Decode[encoder.TicketReply](raw)
	if err != nil {
		d.violate("invalid-reply", err.Error())
		return "", false
	}
	return reply.Ticket, true
}

// query returns the answer, or nil and the outcome that the caller was told.
func (d *Driver) query(ctx context.Context, n intent, entry string, q encoder.QueryRequest) (*encoder.QueryReply, encoder.QueryOutcome) {
	began := time.Now()
	status, raw, err := d.post(ctx, n, entry, "/v1/queries", encoder.Encode(q))
	if time.Since(began)-2*d.settings.Latency > time.Duration(n.class.DeadlineMs)*time.Millisecond {
		d.late()
	}
	if err != nil {
		d.code(string(NoReply))
		return nil, NoReply
	}
	if status != http.StatusOK {
		refusal, err := encoder.Decode[encoder.ErrorReply](raw)
		if err != nil {
			d.violate("invalid-reply", fmt.Sprintf("status %d: %v", status, err))
			return nil, NoReply
		}
		d.code(refusal.Code)
		return nil, refusal.Outcome
	}
	reply, err := encoder.Decode[encoder.QueryReply](raw)
	if err != nil {
		d.violate("invalid-reply", err.Error())
		return nil, NoReply
	}
	if d.settings.Newest != nil && !d.maps.known(reply.Snapshot) {
		d.maps.add(d.settings.Newest())
	}
	for _, v := range d.maps.verify(n, reply) {
		d.violate(v.Kind, v.Detail)
	}
	return &reply, reply.Outcome
}

func (d *Driver) post(ctx context.Context, n intent, entry, path string, body []byte) (int, []byte, error) {
	time.Sleep(d.settings.Latency)
	ctx, stop := context.WithTimeout(ctx, time.Duration(n.class.DeadlineMs)*time.Millisecond+patience)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// Prevents the client from sending the request again on another connection by itself.
	request.GetBody = nil
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	time.Sleep(d.settings.Latency)
	return response.StatusCode, raw, err
}

func (d *Driver) recordTicket(n intent, reply *encoder.QueryReply, outcome encoder.QueryOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, found := d.tickets[n.text]
	if !found {
		t = &ticketRecord{}
		d.tickets[n.text] = t
	}
	t.outcomes = append(t.outcomes, outcome)
	if reply == nil {
		return
	}
	if t.first == nil {
		t.first = reply
		return
	}
	if t.first.Query != reply.Query || t.first.Snapshot != reply.Snapshot || !slices.Equal(t.first.Hits, reply.Hits) {
		d.violateLocked("ticket-answer-differs", fmt.Sprintf("%q: query %s and %s", n.text, t.first.Query, reply.Query))
	}
}

// record counts one query; reply is nil without an answer.
func (d *Driver) record(n intent, reply *encoder.QueryReply, outcome encoder.QueryOutcome) {
	latency := time.Since(n.at)
	share := coverage(reply)
	if d.settings.Observe != nil {
		d.settings.Observe(Observation{At: n.at, Latency: latency, Outcome: outcome, Coverage: share})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Outcomes[outcome]++
	if outcome != encoder.QueryOutcomeNotRun {
		d.result.Needed += d.maps.needed(n, reply)
	}
	if reply == nil {
		return
	}
	d.coverage += share
	d.covered++
	d.result.CoverageMinimum = min(d.result.CoverageMinimum, share)
	h, found := d.classHdr[n.class.Name]
	if !found {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		d.classHdr[n.class.Name] = h
	}
	micros := min(max(latency.Microseconds(), 1), histogramMax)
	_ = h.RecordValue(micros)
	_ = d.histogram.RecordValue(micros)
}

// coverage returns the share of the documents that an answer covers; 0 without an answer.
func coverage(reply *encoder.QueryReply) float64 {
	if reply == nil {
		return 0
	}
	if reply.Coverage.Documents == 0 {
		return 1
	}
	return float64(reply.Coverage.DocumentsAnswered) / float64(reply.Coverage.Documents)
}

func (d *Driver) late() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Late++
}

func (d *Driver) code(code string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Codes[code]++
}

func (d *Driver) violate(kind, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violateLocked(kind, detail)
}

func (d *Driver) violateLocked(kind, detail string) {
	d.result.ViolationCount++
	if len(d.result.Violations) < violationsListed {
		d.result.Violations = append(d.result.Violations, Violation{Kind: kind, Detail: detail})
	}
}

func (d *Driver) finish(ctx context.Context, before map[string]targetCounts, elapsed time.Duration) Result {
	after := d.readTargets(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.result
	r.ElapsedMs = int(elapsed.Milliseconds())
	r.Rate = float64(d.histogram.TotalCount()) / elapsed.Seconds()
	r.P50Ms, r.P99Ms, r.P999Ms = quantiles(d.histogram)
	r.MaxMs = float64(d.histogram.Max()) / 1000
	if d.covered > 0 {
		r.CoverageMean = d.coverage / float64(d.covered)
	} else {
		r.CoverageMinimum = 0
	}
	for name, h := range d.classHdr {
		c := ClassResult{Answers: int(h.TotalCount())}
		c.P50Ms, c.P99Ms, c.P999Ms = quantiles(h)
		r.Classes[name] = c
	}
	d.compare(before, after)
	slices.SortFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.Kind, b.Kind) })
	r.Counters = d.readCounters(ctx)
	return *r
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99, p999 float64) {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return at(50), at(99), at(99.9)
}
