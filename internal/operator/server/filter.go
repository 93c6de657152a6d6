package server

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"apricotflow/internal/wire/encoder"
)

// Query parameters of GET /v1/events. All but after may be repeated.
const (
	paramAfter   = "after"
	paramKind    = "kind"
	paramSubject = "subject"
	paramQuery   = "query"
)

// filterError reports an unknown query parameter or an invalid value.
type filterError struct {
	parameter string
	message   string
}

func (e *filterError) Error() string {
	return fmt.Sprintf("parameter %q %s", e.parameter, e.message)
}

// filter selects events. An empty list selects all values.
type filter struct {
	after    int
	kinds    []string
	subjects []string
	queries  []string
}

// newFilter creates a filter from query parameters. It refuses unknown parameters, because a request with a misspelt
// one would return all events.
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

// apply removes the events that are not selected. It modifies the slice.
func (f filter) apply(events []encoder.Event) []encoder.Event {
	return slices.DeleteFunc(events, func(e encoder.Event) bool {
		return !matchesAny(f.kinds, e.Kind) || !matchesAny(f.subjects, e.Subject) || !matchesAny(f.queries, e.Query)
	})
}

func matchesAny(wanted []string, value string) bool {
	return len(wanted) == 0 || slices.Contains(wanted, value)
}
