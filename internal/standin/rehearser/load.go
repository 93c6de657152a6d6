package rehearser

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotflow/platform"
)

// orderShare of the requests are orders; the others are queries.
const orderShare = 5

// Report is what a load has seen.
type Report struct {
	// Searches and Orders count the requests that were answered, Failed those without a success, and Unanswered those
	// whose connection ended without an answer.
	Searches, Orders, Failed, Unanswered int
	// Late counts the answers after the objective.
	Late int
	// Parts and Missing count the parts of answered queries.
	Parts, Missing int
	latencies      []time.Duration
	// Causes tell why requests have no answer.
	Causes []string
	// Violations tell of answers that break a guarantee.
	Violations []string
}

// Coverage returns the share of the parts that were in.
func (r Report) Coverage() float64 {
	return float64(r.Parts) / float64(max(r.Parts+r.Missing, 1))
}

// Quantile returns a latency of the answered queries.
func (r Report) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// load sends requests and verifies the answers.
type load struct {
	world   *World
	clients []*http.Client

	mu     sync.Mutex
	report Report
	// refused holds the ids of the orders that were answered as not run.
	refused []string
}

// Load sends requests at a rate to all instances for a while and verifies every answer.
func (w *World) Load(ctx context.Context, rate float64, duration time.Duration) Report {
	l := &load{world: w}
	for range w.instances {
		l.clients = append(l.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 5 * time.Second})
	}
	defer func() {
		for _, c := range l.clients {
			c.CloseIdleConnections()
		}
	}()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var running sync.WaitGroup
	for i := 0; i < int(rate*duration.Seconds()) && ctx.Err() == nil; i++ {
		running.Go(func() { l.request(ctx, i) })
		<-ticker.C
	}
	running.Wait()
	l.checkOrders()
	return l.report
}

// target returns the first instance from i on that is ready for new connections, as a balancer would.
func (l *load) target(i int) int {
	for n := range l.world.instances {
		if k := (i + n) % len(l.world.instances); l.world.Ready(k) {
			return k
		}
	}
	return i % len(l.world.instances)
}

func (l *load) request(ctx context.Context, i int) {
	id := fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i))
	k := l.target(i)
	method, path := http.MethodGet, searchPrefix+strconv.Itoa(i)
	if i%orderShare == 0 {
		method, path = http.MethodPost, orderPrefix+strconv.Itoa(i)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.world.instances[k].callers+path, nil)
	if err != nil {
		l.fail(err)
		return
	}
	request.Host = searchHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "1500")
	start := time.Now()
	response, err := l.clients[k].Do(request)
	if err != nil {
		l.fail(err)
		return
	}
	body, err := io.ReadAll(response.Body)
	// The body was read to its end or is not used.
	_ = response.Body.Close()
	if err != nil {
		l.fail(err)
		return
	}
	if i%orderShare == 0 {
		l.takeOrder(id, response)
		return
	}
	l.takeSearch(id, response, body, time.Since(start))
}

// fail counts a request without an answer.
func (l *load) fail(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Failed++
	l.report.Unanswered++
	l.report.Causes = append(l.report.Causes, cause.Error())
}

func (l *load) takeOrder(id string, response *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Orders++
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		l.report.Failed++
		l.refused = append(l.refused, id)
	default:
		l.report.Failed++
	}
}

func (l *load) takeSearch(id string, response *http.Response, body []byte, took time.Duration) {
	problem, parts := verify(id, response, body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Searches++
	if response.StatusCode != http.StatusOK {
		l.report.Failed++
		return
	}
	if problem != "" {
		l.report.Violations = append(l.report.Violations, "request "+id+": "+problem)
	}
	l.report.Parts += parts
	l.report.Missing += shards - parts
	l.report.latencies = append(l.report.latencies, took)
	if took > searchObjective*time.Millisecond {
		l.report.Late++
	}
}

// verify compares an answer with the records of the parts that it names.
func verify(id string, response *http.Response, body []byte) (problem string, parts int) {
	if response.StatusCode != http.StatusOK {
		return "", 0
	}
	var records [][]byte
	seen := make(map[string]bool)
	for signature := range strings.SplitSeq(response.Header.Get(platform.HeaderSignatures), ", ") {
		target, requestID, _ := strings.Cut(signature, ".")
		fields := strings.Split(target, "-")
		if requestID != id || len(fields) != 3 || seen[fields[1]] {
			return "signature " + signature + " is not one of this request, or names a shard twice", 0
		}
		seen[fields[1]] = true
		records = slices.AppendSeq(records, slices.Chunk(partOf(fields[1]), 16))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(body, want) {
		return "the records are not the greatest of the parts named", len(seen)
	}
	if missing := response.Header.Get(platform.HeaderMissing); missing != strconv.Itoa(shards-len(seen)) {
		return missing + " parts are said to be missing, with " + strconv.Itoa(len(seen)) + " in", len(seen)
	}
	return "", len(seen)
}

// checkOrders verifies that no order ran twice and that no refused one ran.
func (l *load) checkOrders() {
	runs := l.world.Runs()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			l.report.Violations = append(l.report.Violations, fmt.Sprintf("order %s ran %d times", id, n))
		}
	}
	for _, id := range l.refused {
		if runs[id] > 0 {
			l.report.Violations = append(l.report.Violations, "order "+id+" was called not run and has run")
		}
	}
}
