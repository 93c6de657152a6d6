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
	// RetryAfter is when the caller of a refused query may try again; 0 if the answer does not state it.
	RetryAfter time.Duration
}

// issuedTicket is a ticket with the state of its run. The lock of the table guards its fields.
type issuedTicket struct {
	// randomPart is the part of the ticket that is unique in the table.
	randomPart string
	class      string
	expires    time.Time
	// started is never reset, so a ticket runs at most once.
	started bool
	digest  [sha256.Size]byte
	// done is closed when the run has ended.
	done chan struct{}
	// answer is nil until the run has ended, and after the answer was dropped to save memory.
	answer *Answer
}

func (e *issuedTicket) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *issuedTicket) running() bool {
	return e.started && !e.finished()
}

// table holds the tickets of this incarnation. Limits apply to their number and to the bytes of their answers.
type table struct {
	maxTickets     int
	maxAnswerBytes int
	// tickets and byExpiry hold the same tickets. byExpiry is in the order in which they were issued or finished, which
	// is the order of expiry while the lifetime is constant; after a change of the lifetime, expired tickets may be
	// removed late.
	tickets  map[string]*list.Element
	byExpiry *list.List
	// answerBytes is the size of all kept answers in bytes.
	answerBytes int
}

func newTable(maxTickets, maxAnswerBytes int) *table {
	return &table{maxTickets: maxTickets, maxAnswerBytes: maxAnswerBytes, tickets: make(map[string]*list.Element), byExpiry: list.New()}
}

// add adds a ticket, and reports false if the table is full.
func (t *table) add(e *issuedTicket, now time.Time) bool {
	t.removeExpired(now)
	if len(t.tickets) >= t.maxTickets {
		return false
	}
	t.tickets[e.randomPart] = t.byExpiry.PushBack(e)
	return true
}

// find returns a ticket, and reports whether it is running or has not expired.
func (t *table) find(randomPart string, now time.Time) (*issuedTicket, bool) {
	element, found := t.tickets[randomPart]
	if !found {
		return nil, false
	}
	e := element.Value.(*issuedTicket)
	return e, e.running() || now.Before(e.expires)
}

// finish stores the answer until it expires, and drops the oldest answers above the limit of bytes.
func (t *table) finish(e *issuedTicket, answer Answer, expires time.Time) {
	e.answer, e.expires = &answer, expires
	t.byExpiry.MoveToBack(t.tickets[e.randomPart])
	t.answerBytes += len(answer.Body)
	for element := t.byExpiry.Front(); element != nil && t.answerBytes > t.maxAnswerBytes; element = element.Next() {
		t.dropAnswer(element.Value.(*issuedTicket))
	}
	close(e.done)
}

func (t *table) dropAnswer(e *issuedTicket) {
	if e.answer == nil {
		return
	}
	t.answerBytes -= len(e.answer.Body)
	e.answer = nil
}

// removeExpired removes expired tickets up to the first that is still valid. Running ones are kept.
func (t *table) removeExpired(now time.Time) {
	for element := t.byExpiry.Front(); element != nil; {
		e, next := element.Value.(*issuedTicket), element.Next()
		if now.Before(e.expires) {
			return
		}
		if !e.running() {
			t.dropAnswer(e)
			t.byExpiry.Remove(element)
			delete(t.tickets, e.randomPart)
		}
		element = next
	}
}

func digest(request encoder.QueryRequest) [sha256.Size]byte {
	return sha256.Sum256(encoder.Encode(request))
}
