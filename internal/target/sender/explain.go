package sender

import (
	"slices"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/picker"
)

// Explain returns how Pick judges all known targets of the service at present.
func (s *Sender) Explain(service mapper.Service, latency LatencyEstimate, preferredDomain string, excluded func(id string) bool) []picker.Candidate {
	view := s.registrar.View()
	candidates := s.picker.Explain(view.Serving(service.Name), service, latency.kind(), preferredDomain, excluded)
	for i := range candidates {
		if t := candidates[i].Target; !s.prober.Reachable(t.FailureDomain) {
			candidates[i] = picker.Candidate{Target: t, LeftOut: picker.ReasonOutOfReach}
		}
	}
	closed := view.ClosedDomains()
	for _, t := range view.Targets() {
		if t.Service == service.Name && !view.IsServing(t.ID) {
			candidates = append(candidates, picker.Candidate{Target: t, LeftOut: notServingReason(t, closed)})
		}
	}
	return candidates
}

// notServingReason returns why a target gets no new requests.
func notServingReason(t registrar.Target, closed []string) string {
	switch {
	case slices.Contains(closed, t.FailureDomain):
		return picker.ReasonDomainClosed
	case t.Withdrawn:
		return picker.ReasonWithdrawn
	case t.Draining:
		return picker.ReasonDraining
	}
	return picker.ReasonLeaving
}
