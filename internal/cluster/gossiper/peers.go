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
	// Joining tells that the incarnation may not grant or hold leases yet.
	Joining bool
	// Released tells that the incarnation never grants or holds a lease again.
	Released bool
	// ReleasedAt is the boot time from before the latest request whose reply said so, or 0.
	ReleasedAt time.Duration
	Reachable  bool
	// Heard is the boot time of the last message.
	Heard time.Duration
	// Exchanged is the boot time of the last exchange, which may be 0 after hello.
	Exchanged time.Duration
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
	// version changes after a change of any announcement.
	version atomic.Uint64
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

// announcement is what a peer tells of its own state.
type announcement struct {
	leaving, joining, released bool
}

func (s PeerState) announcement() announcement {
	return announcement{leaving: s.Leaving, joining: s.Joining, released: s.Released}
}

// greeted notes the hello of a peer.
func (p *peers) greeted(hello encoder.HelloMessage) {
	p.update(hello.Instance, func(s *PeerState) {
		if s.Incarnation != hello.Incarnation {
			*s = PeerState{Instance: hello.Instance, Incarnation: hello.Incarnation, Joining: hello.Joining}
		}
		s.Joining = s.Joining && hello.Joining
		s.Reachable, s.Heard, s.failures = true, p.clock(), 0
	})
}

// heard notes a message of a peer. Messages of one peer may be handled out of order, so within an incarnation leaving
// and released are never taken back, and joining never comes back. It reports whether the peer announces its shutdown
// for the first time.
func (p *peers) heard(message encoder.ExchangeMessage) (leaves bool) {
	p.update(message.Instance, func(s *PeerState) {
		if s.Incarnation != message.Incarnation {
			*s = PeerState{Instance: message.Instance, Incarnation: message.Incarnation, Joining: message.Joining}
		}
		s.Generation, s.Digest, s.MembersRevision = message.Generation, message.Digest, message.MembersRevision
		leaves = message.Leaving && !s.Leaving
		s.Leaving = s.Leaving || message.Leaving
		s.Joining = s.Joining && message.Joining
		s.Released = s.Released || message.Released
		s.Reachable, s.Heard, s.failures = true, p.clock(), 0
		s.Exchanged = s.Heard
	})
	return leaves
}

// answered notes the reply to a request sent at the boot time.
func (p *peers) answered(reply encoder.ExchangeMessage, sent time.Duration) (leaves bool) {
	leaves = p.heard(reply)
	if !reply.Released {
		return leaves
	}
	p.update(reply.Instance, func(s *PeerState) {
		if s.Incarnation == reply.Incarnation {
			s.ReleasedAt = max(s.ReleasedAt, sent)
		}
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
		if s.announcement() != (announcement{}) {
			p.version.Add(1)
		}
	}
}

func (p *peers) update(instance string, change func(*PeerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.get(instance)
	before := s.announcement()
	change(&s)
	p.states.Store(instance, s)
	if s.announcement() != before {
		p.version.Add(1)
	}
}
