package ticketer

import (
	"container/list"
	"crypto/sha256"
	"time"

	"apricotflow/internal/wire/encoder"
)

// Answer is the reply to a query with a ticket, as it is sent to the caller.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the raw JSON of a QueryReply or an ErrorReply and must not be changed.
	Body []byte
}

// entry is one issued ticket. The lock of the table guards its fields.
type entry struct {
	random  string
	class   string
	expires time.Time
	// started is never reset, so a ticket runs at most once.
	started bool
	digest  [sha256.Size]byte
	// done is closed when the run has ended.
	done chan struct{}
	// answer is nil until the run has ended, and after the answer was dropped to save memory.
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

// table holds the tickets of this incarnation. Limits apply to their number and to the bytes of their answers.
type table struct {
	maxTickets     int
	maxAnswerBytes int
	// entries and byExpiry hold the same tickets; byExpiry is ordered by expiry, earliest first.
	entries  map[string]*list.Element
	byExpiry *list.List
	// answerBytes is the size of all kept answers in bytes.
	answerBytes int
}

func newTable(maxTickets, maxAnswerBytes int) *table {
	return &table{maxTickets: maxTickets, maxAnswerBytes: maxAnswerBytes, entries: make(map[string]*list.Element), byExpiry: list.New()}
}

// add adds a ticket, and reports false if the table is full.
func (t *table) add(e *entry, now time.Time) bool {
	t.removeExpired(now)
	if len(t.entries) >= t.maxTickets {
		return false
	}
	t.entries[e.random] = t.byExpiry.PushBack(e)
	return true
}

// find returns a ticket, and reports whether it is running or has not expired.
func (t *table) find(random string, now time.Time) (*entry, bool) {
	element, found := t.entries[random]
	if !found {
		return nil, false
	}
	e := element.Value.(*entry)
	return e, e.running() || now.Before(e.expires)
}

// finish stores the answer until it expires, and drops the oldest answers above the limit of bytes.
func (t *table) finish(e *entry, answer Answer, expires time.Time) {
	e.answer, e.expires = &answer, expires
	t.byExpiry.MoveToBack(t.entries[e.random])
	t.answerBytes += len(answer.Body)
	for element := t.byExpiry.Front(); element != nil && t.answerBytes > t.maxAnswerBytes; element = element.Next() {
		t.dropAnswer(element.Value.(*entry))
	}
	close(e.done)
}

func (t *table) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	t.answerBytes -= len(e.answer.Body)
	e.answer = nil
}

// removeExpired removes expired tickets up to the first that is still valid. Running ones are kept.
func (t *table) removeExpired(now time.Time) {
	for element := t.byExpiry.Front(); element != nil; {
		e, next := element.Value.(*entry), element.Next()
		if now.Before(e.expires) {
			return
		}
		if !e.running() {
			t.dropAnswer(e)
			t.byExpiry.Remove(element)
			delete(t.entries, e.random)
		}
		element = next
	}
}

func digest(request encoder.QueryRequest) [sha256.Size]byte {
	return sha256.Sum256(encoder.Encode(request))
}
