package concentrator

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"apricotflow/internal/target/combiner"
	"apricotflow/internal/wire/encoder"
)

// resultCollector encodes results as lines and merges the records of their replies. The mergeable results have lines of
// their own format; the other ones include complete replies with an error status or without a signature.
type resultCollector struct {
	mergeable strings.Builder
	other     strings.Builder
	limits    strings.Builder
	leaving   strings.Builder
	pauses    strings.Builder
	loads     strings.Builder
	combiner  *combiner.Combiner
}

func newResultCollector(maxRecords int) *resultCollector {
	return &resultCollector{combiner: combiner.New(maxRecords)}
}

func (rc *resultCollector) add(r indexedResult) {
	latency := r.result.Latency.Microseconds()
	if r.result.RequestLimit != nil {
		fmt.Fprintf(&rc.limits, "%d %g\n", r.index, *r.result.RequestLimit)
	}
	if r.result.Leaving {
		fmt.Fprintf(&rc.leaving, "%d\n", r.index)
	}
	if r.result.PausedFor > 0 {
		fmt.Fprintf(&rc.pauses, "%d %d\n", r.index, r.result.PausedFor.Milliseconds())
	}
	if l := r.result.Load; l != nil && l.WorkFactor > 0 {
		// A load without the work factor is not used by the instance that has chosen the target; see package appraiser.
		fmt.Fprintf(&rc.loads, "%d %d %d %d %d\n", r.index, l.Running, l.Waiting, l.Slots, l.WorkPercent())
	}
	if r.result.CanBeMerged() {
		fmt.Fprintf(&rc.mergeable, "%d %d %s\n", r.index, latency, r.result.Reply.Signature)
		rc.combiner.Add(r.result.Reply.Body)
		return
	}
	status, reason := 0, ""
	if r.result.Reply != nil {
		status = r.result.Reply.Status
	}
	if r.result.Err != nil {
		reason = strings.ReplaceAll(r.result.Err.Error(), "\n", " ")
	}
	fmt.Fprintf(&rc.other, "%d %d %d %d %s\n", r.index, latency, r.result.Outcome, status, reason)
}

// addWithin adds up to n further results until the timeout and returns how many it has added.
func (rc *resultCollector) addWithin(timeout time.Duration, results <-chan indexedResult, n int) int {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for added := range n {
		select {
		case r := <-results:
			rc.add(r)
		case <-timer.C:
			return added
		}
	}
	return n
}

func (rc *resultCollector) encode() encoder.MergedParts {
	merged := encoder.MergedParts{
		Answered: rc.mergeable.String(), Failed: rc.other.String(), Records: base64.StdEncoding.EncodeToString(rc.combiner.Bytes()),
	}
	if limits := rc.limits.String(); limits != "" {
		merged.Limits = &limits
	}
	if leaving := rc.leaving.String(); leaving != "" {
		merged.Leaving = &leaving
	}
	if pauses := rc.pauses.String(); pauses != "" {
		merged.Pauses = &pauses
	}
	if loads := rc.loads.String(); loads != "" {
		merged.Loads = &loads
	}
	return merged
}
