package ticketer

import (
	"container/list"
	"crypto/sha256"
	"time"

	"apricotflow/internal/wire/encoder"
)

// Answer is the reply to a ticketed query as it is sent to the caller.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the raw JSON of a QueryReply or an ErrorReply and must not be changed.
	Body []byte
}

// entry is one issued ticket; the table's lock guards its fields.
type entry struct {
	random  string
	class   string
	expires time.Time
	// started never returns to false, so a ticket runs at most once.
	started bool
	digest  [sha256.Size]byte
	// done is closed when the run has ended.
	done chan struct{}
	// answer is nil before the run has ended, and after its bytes were dropped.
	answer *Answer
}

func (e *entry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entry) running() bool {
	return e.started && !e.finished()
}

// table holds the tickets of this incarnation, bounded by count and by the bytes of their answers.
type table struct {
	count int
	bytes int
	// entries and order hold the same tickets; order has the oldest expiry first.
	entries map[string]*list.Element
	order   *list.List
	// used is the sum of the bytes of all kept answers.
	used int
}

func newTable(count, bytes int) *table {
	return &table{count: count, bytes: bytes, entries: make(map[string]*list.Element), order: list.New()}
}

// add reports false when the table is full.
func (t *table) add(e *entry, now time.Time) bool {
	t.removeExpired(now)
	if len(t.entries) >= t.count {
		return false
	}
	t.entries[e.random] = t.order.PushBack(e)
	return true
}

// find returns a ticket that is running or has not expired.
func (t *table) find(random string, now time.Time) (*entry, bool) {
	element, found := t.entries[random]
	if !found {
		return nil, false
	}
	e := element.Value.(*entry)
	return e, e.running() || now.Before(e.expires)
}

// finish keeps the answer until it expires and drops the oldest answers above the limit of bytes.
func (t *table) finish(e *entry, answer Answer, expires time.Time) {
	e.answer, e.expires = &answer, expires
	t.order.MoveToBack(t.entries[e.random])
	t.used += len(answer.Body)
	for element := t.order.Front(); element != nil && t.used > t.bytes; element = element.Next() {
		t.drop(element.Value.(*entry))
	}
	close(e.done)
}

func (t *table) drop(e *entry) {
	if e.answer == nil {
		return
	}
	t.used -= len(e.answer.Body)
	e.answer = nil
}

// removeExpired stops at the first ticket that is still valid; a running one is kept.
func (t *table) removeExpired(now time.Time) {
	for element := t.order.Front(); element != nil; {
		e, next := element.Value.(*entry), element.Next()
		if now.Before(e.expires) {
			return
		}
		if !e.running() {
			t.drop(e)
			t.order.Remove(element)
			delete(t.entries, e.random)
		}
		element = next
	}
}

func digest(request encoder.QueryRequest) [sha256.Size]byte {
	return sha256.Sum256(encoder.Encode(request))
}
