package concentrator

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// Number of fields in a line of a mergeable result and of any other result.
const (
	mergeableFields = 3
	otherFields     = 5
	// loadFields is the number of fields in the line of a load.
	loadFields = 5
	// maxLoad limits the numbers of a load.
	maxLoad = 1 << 20
)

// undeliveredResults tracks which results of a batch have not been delivered.
type undeliveredResults struct {
	delivered []bool
	remaining int
}

func newUndeliveredResults(n int) *undeliveredResults {
	return &undeliveredResults{delivered: make([]bool, n), remaining: n}
}

// markDelivered marks a result as delivered and reports whether it was undelivered.
func (p *undeliveredResults) markDelivered(i int) bool {
	if i < 0 || i >= len(p.delivered) || p.delivered[i] {
		return false
	}
	p.delivered[i] = true
	p.remaining--
	return true
}

// errForeignRecords is the reason why the results of a message are lost whose records hold those of other results.
var errForeignRecords = errors.New("concentrator: merged records of results that are delivered already or unknown")

// errInvalidStatus is the reason why a result with a status below 100 is lost.
var errInvalidStatus = errors.New("concentrator: result has an invalid status")

// decode decodes received results and marks them as delivered. Results in malformed lines stay undelivered, so they are
// lost when the context of the batch ends. The records of a message cannot be told apart, so if they include those of a
// result that is unknown, malformed or delivered already, all results of the message that are merged into them are lost.
func (p *undeliveredResults) decode(merged encoder.MergedParts) PartialResults {
	partial := PartialResults{Results: make(map[int]transporter.Result, len(p.delivered))}
	records, err := base64.StdEncoding.DecodeString(merged.Records)
	if err != nil {
		return p.failRemaining(transporter.Lost, fmt.Errorf("concentrator: decode records: %w", err), 0)
	}
	partial.Records = records
	limits, leaving, pauses := decodeLimits(merged.Limits), decodeLeaving(merged.Leaving), decodePauses(merged.Pauses)
	loads := decodeLoads(merged.Loads)
	var mergedIndexes []int
	foreign := false
	for line := range strings.Lines(merged.Answered) {
		i, result, ok := decodeMergeable(line)
		if !ok || !p.markDelivered(i) {
			foreign = true
			continue
		}
		result.RequestLimit, result.Leaving, result.PausedFor = limits[i], leaving[i], pauses[i]
		result.Load, result.ThroughPeer = loads[i], true
		partial.Results[i] = result
		mergedIndexes = append(mergedIndexes, i)
	}
	if foreign {
		partial.Records = nil
		for _, i := range mergedIndexes {
			partial.Results[i] = transporter.Result{Outcome: transporter.Lost, Err: errForeignRecords, Latency: partial.Results[i].Latency}
		}
	}
	for line := range strings.Lines(merged.Failed) {
		if i, result, ok := decodeOther(line); ok && p.markDelivered(i) {
			result.RequestLimit, result.Leaving, result.PausedFor = limits[i], leaving[i], pauses[i]
			result.Load, result.ThroughPeer = loads[i], true
			partial.Results[i] = result
		}
	}
	return partial
}

// failRemaining returns the same outcome for all undelivered results and marks them as delivered.
func (p *undeliveredResults) failRemaining(outcome transporter.Outcome, err error, latency time.Duration) PartialResults {
	partial := PartialResults{Results: make(map[int]transporter.Result, p.remaining)}
	for i, delivered := range p.delivered {
		if !delivered {
			p.markDelivered(i)
			partial.Results[i] = transporter.Result{Outcome: outcome, Err: err, Latency: latency}
		}
	}
	return partial
}

// decodeLimits returns the request limits by the index of the target in the batch. It skips malformed lines.
func decodeLimits(encoded *string) map[int]*float64 {
	if encoded == nil {
		return nil
	}
	limits := make(map[int]*float64)
	for line := range strings.Lines(*encoded) {
		index, limit, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		i, errIndex := strconv.Atoi(index)
		perSecond, errLimit := strconv.ParseFloat(limit, 64)
		if errIndex == nil && errLimit == nil && perSecond >= 0 && !math.IsInf(perSecond, 0) {
			limits[i] = &perSecond
		}
	}
	return limits
}

// decodeLeaving returns the indexes in the batch of the targets that leave. It skips malformed lines.
func decodeLeaving(encoded *string) map[int]bool {
	if encoded == nil {
		return nil
	}
	leaving := make(map[int]bool)
	for line := range strings.Lines(*encoded) {
		if i, err := strconv.Atoi(strings.TrimSuffix(line, "\n")); err == nil {
			leaving[i] = true
		}
	}
	return leaving
}

// decodePauses returns for how long targets want no requests, by their index in the batch. It skips malformed lines.
func decodePauses(encoded *string) map[int]time.Duration {
	if encoded == nil {
		return nil
	}
	pauses := make(map[int]time.Duration)
	for line := range strings.Lines(*encoded) {
		index, pause, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		i, errIndex := strconv.Atoi(index)
		ms, errPause := strconv.Atoi(pause)
		if errIndex == nil && errPause == nil && ms > 0 {
			pauses[i] = time.Duration(ms) * time.Millisecond
		}
	}
	return pauses
}

// decodeLoads returns the loads by the index of the target in the batch. It skips malformed lines.
func decodeLoads(encoded *string) map[int]*transporter.Load {
	if encoded == nil {
		return nil
	}
	loads := make(map[int]*transporter.Load)
	for line := range strings.Lines(*encoded) {
		if index, load, ok := decodeLoad(strings.Fields(line)); ok {
			loads[index] = &load
		}
	}
	return loads
}

func decodeLoad(fields []string) (index int, load transporter.Load, ok bool) {
	if len(fields) != loadFields {
		return 0, transporter.Load{}, false
	}
	var numbers [loadFields]int
	for n, field := range fields {
		var err error
		if numbers[n], err = strconv.Atoi(field); err != nil || numbers[n] < 0 || numbers[n] > maxLoad {
			return 0, transporter.Load{}, false
		}
	}
	load = transporter.Load{Running: numbers[1], Waiting: numbers[2], Slots: numbers[3], WorkFactor: transporter.NewWorkFactor(float64(numbers[4]))}
	return numbers[0], load, load.WorkFactor > 0
}

func decodeMergeable(line string) (int, transporter.Result, bool) {
	fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", mergeableFields)
	if len(fields) != mergeableFields {
		return 0, transporter.Result{}, false
	}
	i, errIndex := strconv.Atoi(fields[0])
	latency, errLatency := strconv.Atoi(fields[1])
	reply := &transporter.Reply{Status: http.StatusOK, Signature: fields[2]}
	result := transporter.Result{Outcome: transporter.Answered, Reply: reply, Latency: time.Duration(latency) * time.Microsecond}
	return i, result, errIndex == nil && errLatency == nil
}

func decodeOther(line string) (int, transporter.Result, bool) {
	fields := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", otherFields)
	if len(fields) != otherFields {
		return 0, transporter.Result{}, false
	}
	var numbers [otherFields - 1]int
	for n := range numbers {
		var err error
		if numbers[n], err = strconv.Atoi(fields[n]); err != nil {
			return 0, transporter.Result{}, false
		}
	}
	result := transporter.Result{Outcome: transporter.Outcome(numbers[2]), Latency: time.Duration(numbers[1]) * time.Microsecond}
	if result.Outcome == transporter.Answered {
		if numbers[3] < http.StatusContinue {
			// The request may have run. Waiting for another line about it would only delay its retry.
			return numbers[0], transporter.Result{Outcome: transporter.Lost, Err: errInvalidStatus, Latency: result.Latency}, true
		}
		result.Reply = &transporter.Reply{Status: numbers[3]}
	}
	if fields[4] != "" {
		result.Err = errors.New(fields[4])
	}
	return numbers[0], result, true
}
