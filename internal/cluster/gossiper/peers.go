package gossiper

import (
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/wire/encoder"
)

// failuresUnreachable is the number of consecutive failed exchanges after which a peer counts as unreachable.
const failuresUnreachable = 2

// PeerState is what this instance knows of another one.
type PeerState struct {
	Instance        string
	Incarnation     string
	Generation      int
	Digest          string
	MembersRevision int
	Leaving         bool
	Reachable       bool
	// Heard is the boot time of the last message.
	Heard time.Duration
	// failures counts the exchanges that failed since the last message.
	failures int
}

// peers holds the states of other instances.
type peers struct {
	clock func() time.Duration

	// states maps names to values of type PeerState, which are replaced as a whole.
	states sync.Map
	// mu serialises writers.
	mu sync.Mutex
	// leavingVersion changes after a change of any Leaving.
	leavingVersion atomic.Uint64
}

func newPeers(clock func() time.Duration) *peers {
	return &peers{clock: clock}
}

func (p *peers) get(instance string) (PeerState, bool) {
	s, found := p.states.Load(instance)
	if !found {
		return PeerState{}, false
	}
	return s.(PeerState), true
}

func (p *peers) all() []PeerState {
	var list []PeerState
	p.states.Range(func(_, s any) bool {
		list = append(list, s.(PeerState))
		return true
	})
	return list
}

// heard notes a message of a peer. Messages of one peer may be handled out of order, so leaving is never taken back
// within an incarnation. It reports whether the peer announces its shutdown for the first time.
func (p *peers) heard(message encoder.ExchangeMessage) (leaves bool) {
	p.update(message.Instance, func(s *PeerState) {
		if s.Incarnation != message.Incarnation {
			*s = PeerState{Instance: message.Instance, Incarnation: message.Incarnation}
		}
		s.Generation, s.Digest, s.MembersRevision = message.Generation, message.Digest, message.MembersRevision
		leaves = message.Leaving && !s.Leaving
		s.Leaving = s.Leaving || message.Leaving
		s.Reachable, s.Heard, s.failures = true, p.clock(), 0
	})
	return leaves
}

// failed notes an exchange that failed.
func (p *peers) failed(instance string) {
	p.update(instance, func(s *PeerState) {
		s.Instance = instance
		s.failures++
		if s.failures >= failuresUnreachable {
			s.Reachable = false
		}
	})
}

// prune forgets the peers that are neither listed nor reachable.
func (p *peers) prune(listed func(string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.all() {
		if listed(s.Instance) || s.Reachable {
			continue
		}
		p.states.Delete(s.Instance)
		if s.Leaving {
			p.leavingVersion.Add(1)
		}
	}
}

func (p *peers) update(instance string, change func(*PeerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.get(instance)
	leaving := s.Leaving
	change(&s)
	p.states.Store(instance, s)
	if s.Leaving != leaving {
		p.leavingVersion.Add(1)
	}
}
