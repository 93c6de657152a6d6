package messenger

import (
	"context"
	"time"
)

const methodRetire = "retire"

// retireUnused closes the connection if this end dialled it and it is idle or has been replaced by another one. Both
// ends stop using it first, so that no call is lost. It also closes a connection without hello after helloDeadline.
func (l *link) retireUnused() {
	m := l.messenger
	if l.peer.Load() == nil {
		if time.Since(l.createdAt) > helloDeadline {
			_ = l.rpc.Close()
		}
		return
	}
	if !l.dialled || l.agreedToClose || l.activeCalls.Load() > 0 {
		return
	}
	idle := time.Since(l.stream.epoch) - time.Duration(l.lastUsed.Load())
	if idle < m.idleTimeout && (idle < m.heartbeatInterval || !m.isReplaced(l)) {
		return
	}
	if !m.retire(l) {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.heartbeatInterval)
	defer cancel()
	agreed := false
	if err := l.rpc.Call(ctx, methodRetire, struct{}{}, &agreed); err == nil && agreed {
		l.closeWhenUnused(ctx)
		return
	}
	m.reuse(l)
}

// closeWhenUnused closes the connection once the handlers of messages that arrived before the agreement have ended, or
// when the context ends.
func (l *link) closeWhenUnused(ctx context.Context) {
	for l.activeCalls.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	l.agreedToClose = true
	_ = l.rpc.Close()
}

// retire stops the use of a connection if it has no calls in flight, and reports whether it did.
func (m *Messenger) retire(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.activeCalls.Load() > 0 {
		return false
	}
	l.retired = true
	if peer := l.peer.Load(); peer != nil && m.preferred[peer.Instance] == l {
		delete(m.preferred, peer.Instance)
		m.preferOther(*peer)
	}
	return true
}

// reuse makes a retired connection available for calls again after the peer did not agree to close it.
func (m *Messenger) reuse(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.retired = false
	peer := l.peer.Load()
	if m.links[l] && m.preferred[peer.Instance] == nil {
		m.preferred[peer.Instance] = l
	}
}

// preferOther makes another open connection to the peer the preferred one, and reports whether there is one. The caller
// must hold the lock.
func (m *Messenger) preferOther(peer Peer) bool {
	for other := range m.links {
		if p := other.peer.Load(); p != nil && *p == peer && !other.retired {
			m.preferred[peer.Instance] = other
			return true
		}
	}
	return false
}
