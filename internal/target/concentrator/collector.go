package concentrator

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"apricotflow/internal/target/combiner"
	"apricotflow/internal/wire/encoder"
)

// gathered holds results with their merged records.
type gathered struct {
	answered strings.Builder
	failed   strings.Builder
	combiner *combiner.Combiner
}

func newGathered(top int) *gathered {
	return &gathered{combiner: combiner.New(top)}
}

func (g *gathered) add(one indexed) {
	latency := one.result.Latency.Microseconds()
	if one.result.Usable() {
		fmt.Fprintf(&g.answered, "%d %d %s\n", one.target, latency, one.result.Reply.Signature)
		g.combiner.Add(one.result.Reply.Body)
		return
	}
	status, reason := 0, ""
	if one.result.Reply != nil {
		status = one.result.Reply.Status
	}
	if one.result.Err != nil {
		reason = strings.ReplaceAll(one.result.Err.Error(), "\n", " ")
	}
	fmt.Fprintf(&g.failed, "%d %d %d %d %s\n", one.target, latency, one.result.Outcome, status, reason)
}

// addWithin adds up to n further results that come within the time, and returns their number.
func (g *gathered) addWithin(within time.Duration, results <-chan indexed, n int) int {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for added := range n {
		select {
		case one := <-results:
			g.add(one)
		case <-timer.C:
			return added
		}
	}
	return n
}

func (g *gathered) encode() encoder.MergedParts {
	return encoder.MergedParts{
		Answered: g.answered.String(), Failed: g.failed.String(), Records: base64.StdEncoding.EncodeToString(g.combiner.Bytes()),
	}
}
