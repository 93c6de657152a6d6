package server

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"apricotflow/internal/wire/encoder"
)

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	c := s.configuration()
	writeReply(w, http.StatusOK, encoder.StatusReply{
		Instance:           s.identity.Instance,
		Incarnation:        s.identity.Incarnation,
		FailureDomain:      s.identity.FailureDomain,
		Version:            s.identity.Version,
		Ready:              s.ready(),
		Generation:         c.Generation,
		Digest:             c.Digest,
		ConfigurationAgeMs: int(c.Age.Milliseconds()),
		PlatformAgeMs:      int(c.PlatformAge.Milliseconds()),
		Members:            append([]encoder.MemberStatus{}, s.members()...),
		Targets:            append([]encoder.TargetStatus{}, s.targets()...),
		Quotas:             s.quotas(),
		Counters:           s.counters(),
	})
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	f, err := newFilter(r.URL.Query())
	if err != nil {
		errorHandler(codeInvalidFilter, err.Error()).ServeHTTP(w, r)
		return
	}
	// Read the clock before the events: events recorded later have higher values, so that a client that continues
	// after this value misses none.
	clock := s.clock.Now()
	events, overwritten := s.events.Events(f.after)
	writeReply(w, http.StatusOK, encoder.EventsReply{
		Instance: s.identity.Instance,
		Clock:    clock,
		Dropped:  overwritten,
		Events:   f.apply(events),
	})
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var page strings.Builder
	counters := s.counters()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		page.WriteString(name + " " + strconv.Itoa(counters[name]) + "\n")
	}
	gauges := s.totals.Gauges()
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		page.WriteString(name + " " + strconv.FormatFloat(gauges[name], 'f', -1, 64) + "\n")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A failed write means that the client has closed the connection, so that there is no one to report the error to.
	_, _ = w.Write([]byte(page.String()))
}

// counters returns the counters. The map is never nil, so that it is encoded as a JSON object instead of null.
func (s *Server) counters() map[string]int {
	if counters := s.totals.Counters(); counters != nil {
		return counters
	}
	return map[string]int{}
}
