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

// orderInterval makes every fifth request an order. All others are searches.
const orderInterval = 5

// Report holds the results of a load.
type Report struct {
	// Searches and Orders count the requests that were answered, Failed those without a successful answer, and
	// Unanswered those whose connection ended without an answer. Failed includes Unanswered.
	Searches, Orders, Failed, Unanswered int
	// Late counts the answered searches that took longer than the latency objective.
	Late int
	// Parts and Missing count the parts that answers contain and those that they lack.
	Parts, Missing int
	latencies      []time.Duration
	// UnansweredCauses holds the error of each request without an answer.
	UnansweredCauses []string
	// Violations describes the answers that break a guarantee.
	Violations []string
}

// Coverage returns the fraction of all parts that the answers contain.
func (r Report) Coverage() float64 {
	return float64(r.Parts) / float64(max(r.Parts+r.Missing, 1))
}

// Quantile returns a quantile of the latency of answered searches, with q from 0 to 1.
func (r Report) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// load sends requests and verifies the answers.
type load struct {
	deployment *Deployment
	clients    []*http.Client
	// at holds the instances that get all requests, ready or not; nil if a load balancer selects them.
	at []int

	mu     sync.Mutex
	report Report
	// refusedOrders and refusedSearches hold the ids of the requests that were answered as not run.
	refusedOrders, refusedSearches []string
}

// RunLoad sends requests at the rate to all instances for the duration and verifies every answer.
func (d *Deployment) RunLoad(ctx context.Context, rate float64, duration time.Duration) Report {
	return d.RunLoadAt(ctx, nil, rate, duration)
}

// RunLoadAt is like RunLoad with requests to the given instances only, whether they are ready or not, as from callers with
// open connections.
func (d *Deployment) RunLoadAt(ctx context.Context, instances []int, rate float64, duration time.Duration) Report {
	l := &load{deployment: d, at: instances}
	for range d.instances {
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
		running.Go(func() { l.sendRequest(ctx, i) })
		<-ticker.C
	}
	running.Wait()
	l.checkOrders()
	l.checkSearches()
	return l.report
}

// selectInstance returns the first instance from i on that is ready for new connections, as a load balancer would. If
// none is ready, it returns instance i. Every second request that finds instance i stranded stays there: its caller has an
// open connection.
func (l *load) selectInstance(i int) int {
	if len(l.at) > 0 {
		return l.at[i%len(l.at)]
	}
	if k := i % len(l.deployment.instances); i/len(l.deployment.instances)%2 == 0 && l.deployment.isStranded(k) {
		return k
	}
	for n := range l.deployment.instances {
		if k := (i + n) % len(l.deployment.instances); l.deployment.IsReady(k) {
			return k
		}
	}
	return i % len(l.deployment.instances)
}

func (l *load) sendRequest(ctx context.Context, i int) {
	id := fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i))
	k := l.selectInstance(i)
	method, path := http.MethodGet, searchPrefix+strconv.Itoa(i)
	if i%orderInterval == 0 {
		method, path = http.MethodPost, orderPrefix+strconv.Itoa(i)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.deployment.instances[k].callerAddress+path, nil)
	if err != nil {
		l.countUnanswered(err)
		return
	}
	request.Host = searchHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderTimeLeft, "1500")
	start := time.Now()
	response, err := l.clients[k].Do(request)
	if err != nil {
		l.countUnanswered(err)
		return
	}
	body, err := io.ReadAll(response.Body)
	// An error is ignored, because the body was read to its end or is not used.
	_ = response.Body.Close()
	if err != nil {
		l.countUnanswered(err)
		return
	}
	if i%orderInterval == 0 {
		l.recordOrder(id, response)
		return
	}
	l.recordSearch(id, response, body, time.Since(start))
}

// countUnanswered counts a request without an answer.
func (l *load) countUnanswered(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Failed++
	l.report.Unanswered++
	l.report.UnansweredCauses = append(l.report.UnansweredCauses, cause.Error())
}

func (l *load) recordOrder(id string, response *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Orders++
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		l.report.Failed++
		l.refusedOrders = append(l.refusedOrders, id)
	default:
		l.report.Failed++
	}
}

func (l *load) recordSearch(id string, response *http.Response, body []byte, took time.Duration) {
	problem, parts := verifyAnswer(id, response, body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Searches++
	if response.StatusCode != http.StatusOK {
		l.report.Failed++
		if response.StatusCode == http.StatusServiceUnavailable {
			l.refusedSearches = append(l.refusedSearches, id)
		}
		return
	}
	if problem != "" {
		l.report.Violations = append(l.report.Violations, "request "+id+": "+problem)
	}
	l.report.Parts += parts
	l.report.Missing += shardCount - parts
	l.report.latencies = append(l.report.latencies, took)
	if took > searchObjective*time.Millisecond {
		l.report.Late++
	}
}

// verifyAnswer compares an answer with the records of the parts that it names, and returns the number of its parts.
func verifyAnswer(id string, response *http.Response, body []byte) (problem string, parts int) {
	if response.StatusCode != http.StatusOK {
		return "", 0
	}
	var records [][]byte
	seen := make(map[string]bool)
	for signature := range strings.SplitSeq(response.Header.Get(platform.HeaderPartSignatures), ", ") {
		target, requestID, _ := strings.Cut(signature, ".")
		fields := strings.Split(target, "-")
		if requestID != id || len(fields) != 3 || seen[fields[1]] {
			return "signature " + signature + " belongs to another request or names a shard twice", 0
		}
		seen[fields[1]] = true
		records = slices.AppendSeq(records, slices.Chunk(partRecordsOf(fields[1]), 16))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(answerRecords, len(records))], nil); !bytes.Equal(body, want) {
		return "the answer does not hold the greatest records of the parts that it names", len(seen)
	}
	if missing := response.Header.Get(platform.HeaderMissingParts); missing != strconv.Itoa(shardCount-len(seen)) {
		return missing + " parts are reported as missing, but " + strconv.Itoa(len(seen)) + " parts answered", len(seen)
	}
	return "", len(seen)
}

// checkOrders verifies that no order ran more than once, and that no order ran that was answered as not run.
func (l *load) checkOrders() {
	runs := l.deployment.OrderRuns()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			l.report.Violations = append(l.report.Violations, fmt.Sprintf("order %s ran %d times", id, n))
		}
	}
	for _, id := range l.refusedOrders {
		if runs[id] > 0 {
			l.report.Violations = append(l.report.Violations, "order "+id+" ran although it was answered as not run")
		}
	}
}

// minTimeLeft is the minimum time left of a request that reaches a target, as a fraction of the objective. With less, the
// target only loses a slot.
const minTimeLeft = 0.1

// checkSearches verifies that no search ran that was answered as not run, and that no target ran a request that it could
// not answer in time.
func (l *load) checkSearches() {
	runs, leastTimeLeft := l.deployment.SearchRuns(), l.deployment.LeastTimeLeft()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.refusedSearches {
		if runs[id] > 0 {
			l.report.Violations = append(l.report.Violations, fmt.Sprintf("search %s ran on %d targets although it was answered as not run", id, runs[id]))
		}
	}
	if leastTimeLeft < minTimeLeft {
		l.report.Violations = append(l.report.Violations, fmt.Sprintf("a target got a request with %.2f of the objective left", leastTimeLeft))
	}
}
