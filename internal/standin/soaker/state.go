package soaker

import (
	"maps"
	"sync"
	"time"

	"apricotflow/internal/standin/launcher"
)

const (
	// exclusionTimeout is the maximum time that work may still reach a target after its failure domain was closed or
	// the target was listed as leaving.
	exclusionTimeout = 3 * time.Second
	// manifestTimeout is the maximum time until all instances apply a published manifest.
	manifestTimeout = 5 * time.Second
	// delayedDataTimeout is the maximum time that data delayed by a pause or a partition may take to arrive after its
	// end.
	delayedDataTimeout = time.Second
)

// exclusion marks a target or a failure domain that must get no new work.
type exclusion struct {
	// deadline is the latest time at which work may still arrive.
	deadline time.Time
}

// deploymentState records the faults that are in effect, and what the instances must do as a result.
type deploymentState struct {
	mu sync.Mutex
	// domains holds the failure domain of each target.
	domains      map[string]string
	down, paused map[string]bool
	// lastUninformed holds the last time at which each instance started, stopped or could not learn of changes.
	lastUninformed map[string]time.Time
	// lastDelayed holds the last time at which data for each target could be delayed.
	lastDelayed map[string]time.Time
	// partitioned holds pairs of failure domains, in both directions. An empty name stands for the platform.
	partitioned    map[[2]string]bool
	platformFaults map[Kind]bool
	// publishedAt and generation belong to the last manifest that was published on the platform.
	publishedAt                   time.Time
	generation                    int
	closedDomains, leavingTargets map[string]*exclusion
}

func newDeploymentState(domains map[string]string, generation int) *deploymentState {
	return &deploymentState{
		domains: domains, down: make(map[string]bool), paused: make(map[string]bool),
		lastUninformed: make(map[string]time.Time), lastDelayed: make(map[string]time.Time),
		partitioned: make(map[[2]string]bool), platformFaults: make(map[Kind]bool), publishedAt: time.Now(), generation: generation,
		closedDomains: make(map[string]*exclusion), leavingTargets: make(map[string]*exclusion),
	}
}

func (s *deploymentState) setDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = down
	s.recordStartOrStop(name)
}

func (s *deploymentState) markStarted(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordStartOrStop(name)
}

// recordStartOrStop records the start or the stop of a process. An instance may start without a connection to a peer
// that has the newest manifest, so the deadlines of all exclusions move to give it time to learn of them. s.mu must be
// held.
func (s *deploymentState) recordStartOrStop(name string) {
	s.lastUninformed[name] = time.Now()
	if !s.platformServesNewest() || len(s.partitioned) > 0 {
		s.extendAllDeadlines(time.Now().Add(exclusionTimeout))
	}
}

func (s *deploymentState) setPaused(name string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused[name] = paused
}

func (s *deploymentState) setPartitioned(a, b string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		delete(s.partitioned, pair)
		if cut {
			s.partitioned[pair] = true
		}
	}
}

func (s *deploymentState) setPlatformFault(kind Kind, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformFaults[kind] = on
}

func (s *deploymentState) setPublished(generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishedAt, s.generation = time.Now(), generation
}

func (s *deploymentState) setClosed(domain string, closed bool) {
	s.setExclusion(s.closedDomains, domain, closed)
}

func (s *deploymentState) setLeaving(target string, leaving bool) {
	s.setExclusion(s.leavingTargets, target, leaving)
}

func (s *deploymentState) setExclusion(exclusions map[string]*exclusion, name string, excluded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(exclusions, name)
	if excluded {
		exclusions[name] = &exclusion{deadline: time.Now().Add(exclusionTimeout)}
	}
}

// currentMemberListLag returns the present delay of the member list.
func (s *deploymentState) currentMemberListLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.platformFaults[KindMembersLag] {
		return memberListLag
	}
	return 0
}

func (s *deploymentState) extendDeadline(target string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingTargets[target].deadline = s.leavingTargets[target].deadline.Add(d)
}

// extendAllDeadlines moves all earlier deadlines of exclusions to the given time. It also moves those that have passed,
// because an instance that has just started may know none of the exclusions. s.mu must be held.
func (s *deploymentState) extendAllDeadlines(deadline time.Time) {
	for _, exclusions := range []map[string]*exclusion{s.closedDomains, s.leavingTargets} {
		for _, e := range exclusions {
			if e.deadline.Before(deadline) {
				e.deadline = deadline
			}
		}
	}
}

func (s *deploymentState) platformServesNewest() bool {
	return !s.platformFaults[KindPlatformDown] && !s.platformFaults[KindPlatformStale]
}

// recordUninformed records the instances that cannot learn of changes at present, and the targets whose data may be
// delayed. An uninformed instance may go on sending work, so every deadline that has not passed moves to at least
// exclusionTimeout from now.
func (s *deploymentState) recordUninformed(instances []launcher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	informedInstances := s.informedInstances(instances)
	for _, n := range instances {
		if s.down[n.Name] || informedInstances[n.Name] {
			continue
		}
		s.lastUninformed[n.Name] = now
		for _, exclusions := range []map[string]*exclusion{s.closedDomains, s.leavingTargets} {
			for _, e := range exclusions {
				if now.Before(e.deadline) {
					e.deadline = later(e.deadline, now.Add(exclusionTimeout))
				}
			}
		}
	}
	for target, domain := range s.domains {
		for pair := range s.partitioned {
			if pair[0] == domain {
				s.lastDelayed[target] = now
			}
		}
		if s.paused[target] {
			s.lastDelayed[target] = now
		}
	}
}

// informedInstances returns the instances that learn of changes, because they reach the platform directly or through
// other instances. s.mu must be held.
func (s *deploymentState) informedInstances(instances []launcher.Instance) map[string]bool {
	informed := make(map[string]bool)
	if !s.platformServesNewest() {
		return informed
	}
	for range instances {
		for _, n := range instances {
			if s.down[n.Name] || s.paused[n.Name] {
				continue
			}
			informed[n.Name] = informed[n.Name] || !s.partitioned[[2]string{n.FailureDomain, ""}]
			for _, peer := range instances {
				informed[n.Name] = informed[n.Name] || informed[peer.Name] && !s.partitioned[[2]string{n.FailureDomain, peer.FailureDomain}]
			}
		}
	}
	return informed
}

// isWorkForbidden reports whether a target must get no new work at the given time.
func (s *deploymentState) isWorkForbidden(target string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Before(s.lastDelayed[target].Add(delayedDataTimeout)) {
		return false
	}
	for _, e := range []*exclusion{s.closedDomains[s.domains[target]], s.leavingTargets[target]} {
		if e != nil && at.After(e.deadline) {
			return true
		}
	}
	return false
}

// requiredGeneration returns the minimum generation that an instance must have now, or 0 if none is required.
func (s *deploymentState) requiredGeneration(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[instance] || time.Now().Before(later(s.publishedAt, s.lastUninformed[instance]).Add(manifestTimeout)) {
		return 0
	}
	return s.generation
}

// unavailable returns the processes that are down and those that are paused.
func (s *deploymentState) unavailable() (down, paused map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.down), maps.Clone(s.paused)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
