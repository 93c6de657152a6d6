package server

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"apricotflow/internal/wire/encoder"
)

// Parameters of GET /v1/events. Kind, subject and query may be repeated.
const (
	paramAfter   = "after"
	paramKind    = "kind"
	paramSubject = "subject"
	paramQuery   = "query"
)

// filterError reports a parameter that cannot be used.
type filterError struct {
	parameter string
	message   string
}

func (e *filterError) Error() string {
	return fmt.Sprintf("parameter %q %s", e.parameter, e.message)
}

// filter selects events. An empty list selects all.
type filter struct {
	after    int
	kinds    []string
	subjects []string
	queries  []string
}

// newFilter refuses unknown parameters, because a misspelt filter would return all events.
func newFilter(values url.Values) (filter, error) {
	f := filter{kinds: values[paramKind], subjects: values[paramSubject], queries: values[paramQuery]}
	for name, texts := range values {
		switch name {
		case paramKind, paramSubject, paramQuery:
		case paramAfter:
			after, err := strconv.Atoi(texts[0])
			if err != nil || after < 0 || len(texts) > 1 {
				return filter{}, &filterError{parameter: name, message: "must be one clock value of 0 or above"}
			}
			f.after = after
		default:
			return filter{}, &filterError{parameter: name, message: "is unknown; use after, kind, subject or query"}
		}
	}
	return f, nil
}

// apply keeps the selected events in place.
func (f filter) apply(events []encoder.Event) []encoder.Event {
	return slices.DeleteFunc(events, func(e encoder.Event) bool {
		return !selects(f.kinds, e.Kind) || !selects(f.subjects, e.Subject) || !selects(f.queries, e.Query)
	})
}

func selects(wanted []string, value string) bool {
	return len(wanted) == 0 || slices.Contains(wanted, value)
}
