package messenger

import (
	"context"
	"time"
)

const methodRetire = "retire"

// retireIdle closes the connection if this end dialled it and it is idle or another one has replaced it. Both ends
// first stop using it, so that no call is lost.
func (l *link) retireIdle() {
	m := l.owner
	if l.peer.Load() == nil {
		if time.Since(l.created) > redundantAge {
			_ = l.rpc.Close()
		}
		return
	}
	if !l.dialled || l.closing || l.active.Load() > 0 {
		return
	}
	idle := time.Since(l.stream.epoch) - time.Duration(l.used.Load())
	if idle < m.idleLimit && (idle < m.heartbeat || !m.replaced(l)) {
		return
	}
	if !m.retire(l) {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.heartbeat)
	defer cancel()
	agreed := false
	if err := l.rpc.Call(ctx, methodRetire, struct{}{}, &agreed); err == nil && agreed {
		l.closeWhenUnused(ctx)
		return
	}
	m.resume(l)
}

// closeWhenUnused lets the handlers end of messages that came before the agreement.
func (l *link) closeWhenUnused(ctx context.Context) {
	for l.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	l.closing = true
	_ = l.rpc.Close()
}

// retire stops the use of a connection without calls in flight, and reports whether it did.
func (m *Messenger) retire(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.active.Load() > 0 {
		return false
	}
	l.retired = true
	if peer := l.peer.Load(); peer != nil && m.preferred[peer.Instance] == l {
		delete(m.preferred, peer.Instance)
		m.preferAnother(*peer)
	}
	return true
}

// resume takes a connection into use again whose other end still uses it.
func (m *Messenger) resume(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.retired = false
	peer := l.peer.Load()
	if m.links[l] && m.preferred[peer.Instance] == nil {
		m.preferred[peer.Instance] = l
	}
}

// preferAnother puts another open connection to a peer into use, and reports whether there is one. The caller holds
// the lock.
func (m *Messenger) preferAnother(peer Peer) bool {
	for other := range m.links {
		if p := other.peer.Load(); p != nil && *p == peer && !other.retired {
			m.preferred[peer.Instance] = other
			return true
		}
	}
	return false
}
