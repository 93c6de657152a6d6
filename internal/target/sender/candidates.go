package sender

import (
	"cmp"
	"slices"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/picker"
)

// Candidates returns all targets of the service with the figures by which Pick chooses among them: the one that it would
// choose first, and those that are left out last.
func (s *Sender) Candidates(service mapper.Service, latency LatencyEstimate, preferredDomain string) []picker.Candidate {
	view := s.registrar.View()
	candidates := s.picker.Candidates(view.Serving(service.Name), service, latency.Median, preferredDomain)
	for i := range candidates {
		if !s.prober.Reachable(candidates[i].Target.FailureDomain) {
			candidates[i].Excluded, candidates[i].Score = "failure domain not reachable", 0
		}
	}
	closed := view.ClosedDomains()
	for _, t := range view.Targets() {
		if t.Service == service.Name && !view.IsServing(t.ID) {
			candidates = append(candidates, picker.Candidate{Target: t, Excluded: notServingReason(t, closed)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b picker.Candidate) int {
		if (a.Excluded == "") != (b.Excluded == "") {
			return cmp.Compare(a.Excluded, b.Excluded)
		}
		return cmp.Compare(a.Score, b.Score)
	})
	return candidates
}

// notServingReason returns why a target gets no new requests.
func notServingReason(t registrar.Target, closed []string) string {
	switch {
	case slices.Contains(closed, t.FailureDomain):
		return "failure domain closed"
	case t.Withdrawn:
		return "withdrawn, another target has its address"
	case t.Draining:
		return "draining"
	}
	return "leaving"
}
