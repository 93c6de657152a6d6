// Package driver sends queries to the instances of a deployment in native mode at a fixed rate, verifies every answer
// and measures latency, coverage and extra load. The soak, the demo and the benchmarks use it; package launcher runs
// the deployment.
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
	// hitLimit is the number of hits that each query requests.
	hitLimit = 10
	// textCount and keyCount are the numbers of different texts of idempotent queries and of different keys.
	textCount, keyCount = 1000, 100
	// replyGracePeriod is how long the driver waits for a reply after the deadline of a query.
	replyGracePeriod = 2 * time.Second
	// histogramMaxMicros is the maximum latency of the histograms in microseconds, histogramDigits their precision in
	// significant digits.
	histogramMaxMicros, histogramDigits = 60_000_000, 3
)

// Settings configures a run.
type Settings struct {
	Manifest encoder.Manifest
	// NewestManifest returns the newest manifest. It is called when an answer comes from an unknown version. It may be
	// nil.
	NewestManifest func() encoder.Manifest
	// CallerAddresses are the caller addresses of the instances.
	CallerAddresses []string
	// Balancer selects the instances that are ready. It may be nil.
	Balancer *Balancer
	// Observe is called for each query after its last reply, from several goroutines concurrently. It may be nil.
	Observe func(Observation)
	// TargetControlAddresses are the control addresses of the targets. Without them, the extra load and the runs of
	// non-idempotent queries are unknown.
	TargetControlAddresses []string
	// AdminAddresses are the admin addresses of the instances, whose counters are summed up.
	AdminAddresses []string
	// ClassWeights holds the weight of each query class. By default, urgent classes have the greatest weight.
	ClassWeights map[string]int
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// ResendPercent is the percentage of answered queries with a ticket that are sent again to another instance. Those
	// without an answer are always sent again.
	ResendPercent int
	// Latency is the simulated one-way latency between callers and instances.
	Latency time.Duration
}

// Observation is the result of one query as the caller saw it.
type Observation struct {
	// At is the intended time of the query, from which Latency counts.
	At      time.Time
	Latency time.Duration
	Outcome encoder.QueryOutcome
	// Coverage is 0 if there was no answer.
	Coverage float64
}

// Driver performs one run.
type Driver struct {
	settings Settings
	client   *http.Client
	classes  []encoder.QueryClass
	// runID makes the texts of non-idempotent queries unique across runs.
	runID string

	mu              sync.Mutex
	random          *rand.Rand
	shardMaps       *shardMaps
	histogram       *hdrhistogram.Histogram
	result          Result
	coverageSum     float64
	answerCount     int
	classHistograms map[string]*hdrhistogram.Histogram
	// tickets holds the replies to each non-idempotent query, by its text.
	tickets map[string]*ticketRecord
}

// ticketRecord holds the replies to one non-idempotent query.
type ticketRecord struct {
	// outcomes has one entry for each time that the query was sent.
	outcomes   []encoder.QueryOutcome
	firstReply *encoder.QueryReply
}

// OutcomeNoReply is the outcome of a query that got no valid reply. It is also the code under which Result.Codes counts
// the requests that got no reply.
const OutcomeNoReply encoder.QueryOutcome = "no-reply"

// New returns a driver for one run.
func New(s Settings) *Driver {
	d := &Driver{
		settings: s,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		runID:    fmt.Sprintf("%x", time.Now().UnixNano()),
		// The second word of the seed differs from those of the service times (0) and of the faults (2).
		random:          rand.New(rand.NewPCG(s.Seed, 1)),
		shardMaps:       newShardMaps(),
		histogram:       hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		classHistograms: make(map[string]*hdrhistogram.Histogram),
		tickets:         make(map[string]*ticketRecord),
		result: Result{
			Outcomes: make(map[encoder.QueryOutcome]int), Codes: make(map[string]int), Classes: make(map[string]ClassResult),
			CoverageMinimum: 1,
		},
	}
	d.shardMaps.add(s.Manifest)
	for _, c := range s.Manifest.QueryClasses {
		for range d.classWeight(c) {
			d.classes = append(d.classes, c)
		}
	}
	return d
}

func (d *Driver) classWeight(c encoder.QueryClass) int {
	if d.settings.ClassWeights != nil {
		return d.settings.ClassWeights[c.Name]
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

// plannedQuery is a query that has not been sent yet.
type plannedQuery struct {
	class         encoder.QueryClass
	text          string
	key           string
	address       string
	resendAddress string
	resend        bool
	intendedAt    time.Time
}

// Run sends queries at the fixed rate, waits for all replies and returns the result. The latency of a query counts from
// its intended time, so that a slow system does not hide its delay by receiving fewer queries.
func (d *Driver) Run(ctx context.Context) Result {
	before := d.readTargetStatistics(ctx)
	began := time.Now()
	var running sync.WaitGroup
	count := int(d.settings.Rate * d.settings.Duration.Seconds())
	for i := range count {
		at := began.Add(time.Duration(float64(i) / d.settings.Rate * float64(time.Second)))
		if !sleepUntil(ctx, at) {
			break
		}
		n := d.drawQuery(i, at)
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

func (d *Driver) drawQuery(i int, intendedAt time.Time) plannedQuery {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := plannedQuery{class: d.classes[d.random.IntN(len(d.classes))], intendedAt: intendedAt}
	p.text = fmt.Sprintf("text %d", d.random.IntN(textCount))
	if !p.class.Idempotent {
		p.text = fmt.Sprintf("order %s.%d", d.runID, i)
	}
	p.key = fmt.Sprintf("key %d", d.random.IntN(keyCount))
	addresses := d.settings.Balancer.readyAddresses(d.settings.CallerAddresses)
	n := d.random.IntN(len(addresses))
	p.address = addresses[n]
	p.resendAddress = addresses[(n+1)%len(addresses)]
	p.resend = d.random.IntN(100) < d.settings.ResendPercent
	d.result.Sent++
	return p
}

func (d *Driver) send(ctx context.Context, p plannedQuery) {
	limit := hitLimit
	q := encoder.QueryRequest{QueryClass: p.class.Name, Text: &p.text, Limit: &limit}
	if p.class.Routing == encoder.QueryClassRoutingKey {
		q.Key = &p.key
	}
	if p.class.Idempotent {
		reply, outcome := d.query(ctx, p, p.address, q)
		d.addToResult(p, reply, outcome)
		return
	}
	ticket, ok := d.requestTicket(ctx, p)
	if !ok {
		// Without a ticket, the query was never sent.
		d.addToResult(p, nil, encoder.QueryOutcomeNotRun)
		return
	}
	q.Ticket = &ticket
	reply, outcome := d.query(ctx, p, p.address, q)
	d.recordTicket(p, reply, outcome)
	if reply == nil || p.resend {
		again, next := d.query(ctx, p, p.resendAddress, q)
		d.recordTicket(p, again, next)
		if reply == nil {
			reply, outcome = again, next
		}
	}
	d.addToResult(p, reply, outcome)
}

func (d *Driver) requestTicket(ctx context.Context, p plannedQuery) (string, bool) {
	status, raw, err := d.post(ctx, p, p.address, "/v1/tickets", encoder.Encode(encoder.TicketRequest{QueryClass: p.class.Name}))
	if err != nil {
		d.countCode(string(OutcomeNoReply))
		return "", false
	}
	if status != http.StatusOK && status != http.StatusCreated {
		d.countCode("no-ticket")
		return "", false
	}
	reply, err := encoder.Decode[encoder.TicketReply](raw)
	if err != nil {
		d.recordViolation("invalid-reply", err.Error())
		return "", false
	}
	return reply.Ticket, true
}

// query sends a query and returns the answer and its outcome. Without an answer, it returns nil and the outcome from
// the error reply, or OutcomeNoReply if there was no valid reply.
func (d *Driver) query(ctx context.Context, p plannedQuery, address string, q encoder.QueryRequest) (*encoder.QueryReply, encoder.QueryOutcome) {
	began := time.Now()
	status, raw, err := d.post(ctx, p, address, "/v1/queries", encoder.Encode(q))
	if time.Since(began)-2*d.settings.Latency > time.Duration(p.class.DeadlineMs)*time.Millisecond {
		d.countLate()
	}
	if err != nil {
		d.countCode(string(OutcomeNoReply))
		return nil, OutcomeNoReply
	}
	if status != http.StatusOK {
		refusal, err := encoder.Decode[encoder.ErrorReply](raw)
		if err != nil {
			d.recordViolation("invalid-reply", fmt.Sprintf("status %d: %v", status, err))
			return nil, OutcomeNoReply
		}
		d.countCode(refusal.Code)
		return nil, refusal.Outcome
	}
	reply, err := encoder.Decode[encoder.QueryReply](raw)
	if err != nil {
		d.recordViolation("invalid-reply", err.Error())
		return nil, OutcomeNoReply
	}
	if d.settings.NewestManifest != nil && !d.shardMaps.contains(reply.Snapshot) {
		d.shardMaps.add(d.settings.NewestManifest())
	}
	for _, v := range d.shardMaps.verify(p, reply) {
		d.recordViolation(v.Kind, v.Detail)
	}
	return &reply, reply.Outcome
}

func (d *Driver) post(ctx context.Context, p plannedQuery, address, path string, body []byte) (int, []byte, error) {
	time.Sleep(d.settings.Latency)
	ctx, stop := context.WithTimeout(ctx, time.Duration(p.class.DeadlineMs)*time.Millisecond+replyGracePeriod)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// Prevents the HTTP client from sending the request again on another connection.
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

func (d *Driver) recordTicket(p plannedQuery, reply *encoder.QueryReply, outcome encoder.QueryOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, found := d.tickets[p.text]
	if !found {
		t = &ticketRecord{}
		d.tickets[p.text] = t
	}
	t.outcomes = append(t.outcomes, outcome)
	if reply == nil {
		return
	}
	if t.firstReply == nil {
		t.firstReply = reply
		return
	}
	if t.firstReply.Query != reply.Query || t.firstReply.Snapshot != reply.Snapshot || !slices.Equal(t.firstReply.Hits, reply.Hits) {
		d.recordViolationLocked("ticket-answer-differs", fmt.Sprintf("%q: query %s and %s", p.text, t.firstReply.Query, reply.Query))
	}
}

// addToResult adds a query to the result. reply is nil if there was no answer.
func (d *Driver) addToResult(p plannedQuery, reply *encoder.QueryReply, outcome encoder.QueryOutcome) {
	latency := time.Since(p.intendedAt)
	share := coverage(reply)
	if d.settings.Observe != nil {
		d.settings.Observe(Observation{At: p.intendedAt, Latency: latency, Outcome: outcome, Coverage: share})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Outcomes[outcome]++
	if outcome != encoder.QueryOutcomeNotRun {
		d.result.Needed += d.shardMaps.neededSubQueries(p, reply)
	}
	if reply == nil {
		return
	}
	d.coverageSum += share
	d.answerCount++
	d.result.CoverageMinimum = min(d.result.CoverageMinimum, share)
	h, found := d.classHistograms[p.class.Name]
	if !found {
		h = hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
		d.classHistograms[p.class.Name] = h
	}
	micros := min(max(latency.Microseconds(), 1), histogramMaxMicros)
	_ = h.RecordValue(micros)
	_ = d.histogram.RecordValue(micros)
}

// coverage returns the fraction of the documents that an answer covers, or 0 without an answer.
func coverage(reply *encoder.QueryReply) float64 {
	if reply == nil {
		return 0
	}
	if reply.Coverage.Documents == 0 {
		return 1
	}
	return float64(reply.Coverage.DocumentsAnswered) / float64(reply.Coverage.Documents)
}

func (d *Driver) countLate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Late++
}

func (d *Driver) countCode(code string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Codes[code]++
}

func (d *Driver) recordViolation(kind, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordViolationLocked(kind, detail)
}

func (d *Driver) recordViolationLocked(kind, detail string) {
	d.result.ViolationCount++
	if len(d.result.Violations) < maxListedViolations {
		d.result.Violations = append(d.result.Violations, Violation{Kind: kind, Detail: detail})
	}
}

func (d *Driver) finish(ctx context.Context, before map[string]targetCounts, elapsed time.Duration) Result {
	after := d.readTargetStatistics(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.result
	r.ElapsedMs = int(elapsed.Milliseconds())
	r.Rate = float64(d.histogram.TotalCount()) / elapsed.Seconds()
	r.P50Ms, r.P99Ms, r.P999Ms = quantilesMs(d.histogram)
	r.MaxMs = float64(d.histogram.Max()) / 1000
	if d.answerCount > 0 {
		r.CoverageMean = d.coverageSum / float64(d.answerCount)
	} else {
		r.CoverageMinimum = 0
	}
	for name, h := range d.classHistograms {
		c := ClassResult{Answers: int(h.TotalCount())}
		c.P50Ms, c.P99Ms, c.P999Ms = quantilesMs(h)
		r.Classes[name] = c
	}
	d.checkTargetCounters(before, after)
	slices.SortFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.Kind, b.Kind) })
	r.Counters = d.readCounters(ctx)
	return *r
}

func quantilesMs(h *hdrhistogram.Histogram) (p50, p99, p999 float64) {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return at(50), at(99), at(99.9)
}
