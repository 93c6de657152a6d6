package delegator

import (
	"sync"
	"time"
)

// maxMessageBody is the maximum number of bytes of a body in one message. The rest is read by further messages, so that
// neither instance holds a large body twice.
const maxMessageBody = 256 << 10

// maxHeldBytes limits the memory for bodies that other instances have not read yet.
const maxHeldBytes = 32 << 20

// heldBodies holds large bodies of answers until the other instance has read them, or their time has passed.
type heldBodies struct {
	mu     sync.Mutex
	bodies map[string][]byte
	// size is the total length of the bodies.
	size int
}

func newHeldBodies() *heldBodies { return &heldBodies{bodies: make(map[string][]byte)} }

// hold holds a body until the given time at the latest. It returns false if there is no room for it.
func (h *heldBodies) hold(key string, body []byte, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.size+len(body) > maxHeldBytes {
		return false
	}
	h.bodies[key] = body
	h.size += len(body)
	time.AfterFunc(time.Until(until), func() { h.drop(key) })
	return true
}

// read returns the next bytes of a body, at most maxMessageBody, and drops the body after its last bytes.
func (h *heldBodies) read(key string, offset int) (next []byte, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, found := h.bodies[key]
	if !found || offset < 0 || offset >= len(body) {
		return nil, false
	}
	end := min(len(body), offset+maxMessageBody)
	if end == len(body) {
		h.remove(key)
	}
	return body[offset:end], true
}

func (h *heldBodies) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(key)
}

// remove removes a body; the lock is held.
func (h *heldBodies) remove(key string) {
	h.size -= len(h.bodies[key])
	delete(h.bodies, key)
}
