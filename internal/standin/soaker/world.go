package soaker

import (
	"maps"
	"sync"
	"time"

	"apricotflow/internal/standin/launcher"
)

const (
	// workLimit is how long work may reach a target after its failure domain was pulled or it was listed as leaving.
	workLimit = 3 * time.Second
	// changeLimit is how long a manifest may take until it is in force everywhere.
	changeLimit = 5 * time.Second
	// heldLimit is how long data that a pause or a cut held back may take to arrive after its end.
	heldLimit = time.Second
)

// closure is a target or a failure domain that must get no new work.
type closure struct {
	// due is when the last work may arrive.
	due time.Time
}

// world is what the schedule has done to the deployment so far.
type world struct {
	mu sync.Mutex
	// domains holds the failure domain of each target.
	domains      map[string]string
	down, paused map[string]bool
	// started holds the time of the last start of an instance, or of the last time that it could not learn of changes.
	started map[string]time.Time
	// held holds the last time at which data for a target could be held back.
	held map[string]time.Time
	// cuts hold pairs of failure domains in both directions; an empty name stands for the platform.
	cuts     map[[2]string]bool
	platform map[Kind]bool
	// published and generation belong to the last manifest that is on the platform.
	published       time.Time
	generation      int
	closed, leaving map[string]*closure
}

func newWorld(domains map[string]string, generation int) *world {
	return &world{
		domains: domains, down: make(map[string]bool), paused: make(map[string]bool),
		started: make(map[string]time.Time), held: make(map[string]time.Time),
		cuts: make(map[[2]string]bool), platform: make(map[Kind]bool), published: time.Now(), generation: generation,
		closed: make(map[string]*closure), leaving: make(map[string]*closure),
	}
}

func (w *world) setDown(name string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[name] = down
	w.start(name)
}

func (w *world) setStarted(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start(name)
}

// start notes the start of a process. An instance that may not reach a peer with the newest manifest at its start
// gets the time that it needs to learn of a closure; w.mu is held.
func (w *world) start(name string) {
	w.started[name] = time.Now()
	if !w.platformServes() || len(w.cuts) > 0 {
		w.postponeAll(time.Now().Add(workLimit))
	}
}

func (w *world) setPaused(name string, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[name] = paused
}

func (w *world) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		delete(w.cuts, pair)
		if cut {
			w.cuts[pair] = true
		}
	}
}

func (w *world) setPlatform(kind Kind, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform[kind] = on
}

func (w *world) setPublished(generation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published, w.generation = time.Now(), generation
}

func (w *world) setClosed(domain string, closed bool) { w.setClosure(w.closed, domain, closed) }

func (w *world) setLeaving(target string, leaving bool) { w.setClosure(w.leaving, target, leaving) }

func (w *world) setClosure(closures map[string]*closure, name string, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(closures, name)
	if closed {
		closures[name] = &closure{due: time.Now().Add(workLimit)}
	}
}

// lag returns how long the member list is delayed now.
func (w *world) lag() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.platform[KindMembersLag] {
		return membersLag
	}
	return 0
}

func (w *world) postpone(target string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[target].due = w.leaving[target].due.Add(d)
}

// postponeAll moves the end of every closure's time; w.mu is held.
func (w *world) postponeAll(due time.Time) {
	for _, closures := range []map[string]*closure{w.closed, w.leaving} {
		for _, c := range closures {
			if c.due.Before(due) {
				c.due = due
			}
		}
	}
}

func (w *world) platformServes() bool {
	return !w.platform[KindPlatformDown] && !w.platform[KindPlatformStale]
}

// observe takes up which instances cannot learn of changes at present. Those give closures that are not in force
// yet more time.
func (w *world) observe(instances []launcher.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	informed := w.informed(instances)
	for _, n := range instances {
		if w.down[n.Name] || informed[n.Name] {
			continue
		}
		w.started[n.Name] = now
		for _, closures := range []map[string]*closure{w.closed, w.leaving} {
			for _, c := range closures {
				if now.Before(c.due) {
					c.due = later(c.due, now.Add(workLimit))
				}
			}
		}
	}
	for target, domain := range w.domains {
		for pair := range w.cuts {
			if pair[0] == domain {
				w.held[target] = now
			}
		}
		if w.paused[target] {
			w.held[target] = now
		}
	}
}

// informed returns the instances that reach the platform over others; w.mu is held.
func (w *world) informed(instances []launcher.Instance) map[string]bool {
	reached := make(map[string]bool)
	if !w.platformServes() {
		return reached
	}
	for range instances {
		for _, n := range instances {
			if w.down[n.Name] || w.paused[n.Name] {
				continue
			}
			reached[n.Name] = reached[n.Name] || !w.cuts[[2]string{n.FailureDomain, ""}]
			for _, peer := range instances {
				reached[n.Name] = reached[n.Name] || reached[peer.Name] && !w.cuts[[2]string{n.FailureDomain, peer.FailureDomain}]
			}
		}
	}
	return reached
}

// forbidden reports whether a target must get no new work any more at a time.
func (w *world) forbidden(target string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.Before(w.held[target].Add(heldLimit)) {
		return false
	}
	for _, c := range []*closure{w.closed[w.domains[target]], w.leaving[target]} {
		if c != nil && at.After(c.due) {
			return true
		}
	}
	return false
}

// required returns the generation that an instance must have now, or 0.
func (w *world) required(instance string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[instance] || time.Now().Before(later(w.published, w.started[instance]).Add(changeLimit)) {
		return 0
	}
	return w.generation
}

// unavailable returns the processes that are down or paused.
func (w *world) unavailable() (down, paused map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.down), maps.Clone(w.paused)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
