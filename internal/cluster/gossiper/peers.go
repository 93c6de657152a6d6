package gossiper

import (
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/wire/encoder"
)

// unreachableAfterFailures is the number of consecutive failed exchanges after which a peer is unreachable.
const unreachableAfterFailures = 2

// PeerState is the state of another instance as known to this one.
type PeerState struct {
	Instance        string
	Incarnation     string
	Generation      int
	Digest          string
	MembersRevision int
	Leaving         bool
	// Joining reports whether the incarnation may not grant or hold leases yet.
	Joining bool
	// Released reports whether the incarnation never grants or holds a lease again.
	Released bool
	// ReleasedAt is the boot time before the latest request whose reply announced the release, or 0. The incarnation was
	// still running after this time.
	ReleasedAt time.Duration
	Reachable  bool
	// HeardAt is the boot time when the last message was received.
	HeardAt time.Duration
	// ExchangedAt is the boot time of the last exchange, or 0 if there was only a hello.
	ExchangedAt time.Duration
	// failures is the number of failed exchanges since the last message.
	failures int
}

// peers holds the states of other instances. It is safe for concurrent use.
type peers struct {
	bootTime func() time.Duration

	// states maps names to PeerState values, which are replaced as a whole.
	states sync.Map
	// mu serialises writers.
	mu sync.Mutex
	// announcementVersion increases after each change of an announcement.
	announcementVersion atomic.Uint64
}

func newPeers(bootTime func() time.Duration) *peers {
	return &peers{bootTime: bootTime}
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

// announcement is the lease-related state that a peer announces of itself.
type announcement struct {
	leaving, joining, released bool
}

func (s PeerState) announcement() announcement {
	return announcement{leaving: s.Leaving, joining: s.Joining, released: s.Released}
}

// recordHello updates the state of a peer from its hello.
func (p *peers) recordHello(hello encoder.HelloMessage) {
	p.update(hello.Instance, func(s *PeerState) {
		if s.Incarnation != hello.Incarnation {
			*s = PeerState{Instance: hello.Instance, Incarnation: hello.Incarnation, Joining: hello.Joining}
		}
		s.Joining = s.Joining && hello.Joining
		s.Reachable, s.HeardAt, s.failures = true, p.bootTime(), 0
	})
}

// recordMessage updates the state of a peer from its message, and reports whether the peer announces its shutdown for
// the first time. Messages of one peer may be handled out of order, so within an incarnation Leaving and Released are
// never reset, and Joining is never set again.
func (p *peers) recordMessage(message encoder.ExchangeMessage) (newlyLeaving bool) {
	p.update(message.Instance, func(s *PeerState) {
		if s.Incarnation != message.Incarnation {
			*s = PeerState{Instance: message.Instance, Incarnation: message.Incarnation, Joining: message.Joining}
		}
		s.Generation, s.Digest, s.MembersRevision = message.Generation, message.Digest, message.MembersRevision
		newlyLeaving = message.Leaving && !s.Leaving
		s.Leaving = s.Leaving || message.Leaving
		s.Joining = s.Joining && message.Joining
		s.Released = s.Released || message.Released
		s.Reachable, s.HeardAt, s.failures = true, p.bootTime(), 0
		s.ExchangedAt = s.HeardAt
	})
	return newlyLeaving
}

// recordReply is recordMessage for the reply to a request; sentAt is the boot time before the request was sent.
func (p *peers) recordReply(reply encoder.ExchangeMessage, sentAt time.Duration) (newlyLeaving bool) {
	newlyLeaving = p.recordMessage(reply)
	if !reply.Released {
		return newlyLeaving
	}
	p.update(reply.Instance, func(s *PeerState) {
		if s.Incarnation == reply.Incarnation {
			s.ReleasedAt = max(s.ReleasedAt, sentAt)
		}
	})
	return newlyLeaving
}

// recordFailure counts a failed exchange with a peer.
func (p *peers) recordFailure(instance string) {
	p.update(instance, func(s *PeerState) {
		s.Instance = instance
		s.failures++
		if s.failures >= unreachableAfterFailures {
			s.Reachable = false
		}
	})
}

// prune deletes the peers that are neither listed nor reachable.
func (p *peers) prune(listed func(string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.all() {
		if listed(s.Instance) || s.Reachable {
			continue
		}
		p.states.Delete(s.Instance)
		if s.announcement() != (announcement{}) {
			p.announcementVersion.Add(1)
		}
	}
}

// update changes the state of one peer, and the announcement version if its announcement changes.
func (p *peers) update(instance string, change func(*PeerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.get(instance)
	before := s.announcement()
	change(&s)
	p.states.Store(instance, s)
	if s.announcement() != before {
		p.announcementVersion.Add(1)
	}
}
