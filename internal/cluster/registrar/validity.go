package registrar

import (
	"fmt"
	"math"
	"time"
	"unicode"
)

// Limits of what an entry of a target may state. Values beyond them are not the target's: they would overflow times and sums,
// or make later entries of the target look older.
const (
	maxNameBytes = 200
	// maxSlots is the maximum number of requests that a target runs concurrently.
	maxSlots = 1 << 16
	// maxSeq is the maximum number of writes of an entry, which a JSON number holds exactly.
	maxSeq = 1 << 53
	// maxWarmup is the maximum time for which a target stays cold.
	maxWarmup = time.Hour
	// maxStartAhead is how far the start of a target may lie in the future, by a clock that is wrong.
	maxStartAhead = 24 * time.Hour
)

// InvalidTargetError reports a value of a target that is out of its limits.
type InvalidTargetError struct {
	Target string
	// Field is the name of the field, and Value its value, shortened.
	Field string
	Value string
}

func (e *InvalidTargetError) Error() string {
	return fmt.Sprintf("registrar: target %q: %s is out of its limits: %s", shorten(e.Target), e.Field, e.Value)
}

// Validate returns an *InvalidTargetError if a value of the target is out of its limits.
func (t Target) Validate(now time.Time) error {
	invalid := func(field string, value any) error {
		return &InvalidTargetError{Target: t.ID, Field: field, Value: shorten(fmt.Sprint(value))}
	}
	switch {
	case !isToken(t.ID):
		return invalid("id", t.ID)
	case !isName(t.Service):
		return invalid("service", t.Service)
	case !isName(t.FailureDomain):
		return invalid("failure domain", t.FailureDomain)
	case t.Slots < 0 || t.Slots > maxSlots:
		return invalid("slots", t.Slots)
	case t.Seq < 0 || t.Seq > maxSeq:
		return invalid("write count", t.Seq)
	case t.Started < 0 || int64(t.Started) > now.Add(maxStartAhead).UnixMilli():
		return invalid("start", t.Started)
	case t.ColdUntil.Sub(now) > maxWarmup:
		return invalid("warm-up", t.ColdUntil.Sub(now))
	}
	return nil
}

// WarmupEnd returns when a target that states its remaining warm-up time, in milliseconds, is warm. A time that a duration
// cannot hold stays out of the limits of Validate.
func WarmupEnd(now time.Time, leftMs float64) time.Time {
	if !(leftMs > 0) {
		return now
	}
	return now.Add(time.Duration(min(leftMs, math.MaxInt32) * float64(time.Millisecond)))
}

// isToken reports whether a text can stand in the value of a header and in a list that spaces separate.
func isToken(text string) bool {
	for _, r := range text {
		if r <= ' ' || r > unicode.MaxASCII || r == 0x7f {
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}

// isName reports whether a text has a usual length and no control characters.
func isName(text string) bool {
	for _, r := range text {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}

// maxShownBytes is the maximum length of a value in an error.
const maxShownBytes = 80

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return text[:maxShownBytes] + "..."
}
