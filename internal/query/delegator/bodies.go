package delegator

import (
	"sync"
	"time"
)

// maxMessageBody is the maximum number of bytes of a body in one message. The rest is read by further messages, so that
// neither instance holds a large body twice.
const maxMessageBody = 256 << 10

// heldBodies holds large bodies of answers until the other instance has read them, or their time has passed.
type heldBodies struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func newHeldBodies() *heldBodies { return &heldBodies{bodies: make(map[string][]byte)} }

// hold holds a body until the given time at the latest.
func (h *heldBodies) hold(key string, body []byte, until time.Time) {
	h.mu.Lock()
	h.bodies[key] = body
	h.mu.Unlock()
	time.AfterFunc(time.Until(until), func() { h.drop(key) })
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
		delete(h.bodies, key)
	}
	return body[offset:end], true
}

func (h *heldBodies) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.bodies, key)
}
