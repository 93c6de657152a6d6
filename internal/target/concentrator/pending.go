package concentrator

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// Fields of a line of results.
const (
	answeredFields = 3
	failedFields   = 5
)

// openParts knows which results of a batch are still due.
type openParts struct {
	delivered []bool
	left      int
}

func newOpenParts(n int) *openParts {
	return &openParts{delivered: make([]bool, n), left: n}
}

// mark notes a result and reports whether it was due.
func (o *openParts) mark(i int) bool {
	if i < 0 || i >= len(o.delivered) || o.delivered[i] {
		return false
	}
	o.delivered[i] = true
	o.left--
	return true
}

// take decodes results that have arrived. Lines that cannot be read leave their results open.
func (o *openParts) take(merged encoder.MergedParts) Parts {
	parts := Parts{Results: make(map[int]transporter.Result, len(o.delivered))}
	records, err := base64.StdEncoding.DecodeString(merged.Records)
	if err != nil {
		return o.rest(transporter.Lost, fmt.Errorf("concentrator: decode records: %w", err), 0)
	}
	parts.Records = records
	for line := range strings.Lines(merged.Answered) {
		if i, result, ok := decodeAnswered(line); ok && o.mark(i) {
			parts.Results[i] = result
		}
	}
	for line := range strings.Lines(merged.Failed) {
		if i, result, ok := decodeFailed(line); ok && o.mark(i) {
			parts.Results[i] = result
		}
	}
	return parts
}

// rest returns one outcome for all results that are still due.
func (o *openParts) rest(outcome transporter.Outcome, err error, latency time.Duration) Parts {
	parts := Parts{Results: make(map[int]transporter.Result, o.left)}
	for i, delivered := range o.delivered {
		if !delivered {
			o.mark(i)
			parts.Results[i] = transporter.Result{Outcome: outcome, Err: err, Latency: latency}
		}
	}
	return parts
}

func decodeAnswered(line string) (int, transporter.Result, bool) {
	fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", answeredFields)
	if len(fields) != answeredFields {
		return 0, transporter.Result{}, false
	}
	i, errIndex := strconv.Atoi(fields[0])
	latency, errLatency := strconv.Atoi(fields[1])
	reply := &transporter.Reply{Status: http.StatusOK, Signature: fields[2]}
	result := transporter.Result{Outcome: transporter.Answered, Reply: reply, Latency: time.Duration(latency) * time.Microsecond}
	return i, result, errIndex == nil && errLatency == nil
}

func decodeFailed(line string) (int, transporter.Result, bool) {
	fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", failedFields)
	if len(fields) != failedFields {
		return 0, transporter.Result{}, false
	}
	var numbers [failedFields - 1]int
	for n := range numbers {
		var err error
		if numbers[n], err = strconv.Atoi(fields[n]); err != nil {
			return 0, transporter.Result{}, false
		}
	}
	result := transporter.Result{Outcome: transporter.Outcome(numbers[2]), Latency: time.Duration(numbers[1]) * time.Microsecond}
	if result.Outcome == transporter.Answered {
		result.Reply = &transporter.Reply{Status: numbers[3]}
	}
	if fields[4] != "" {
		result.Err = errors.New(fields[4])
	}
	return numbers[0], result, true
}
