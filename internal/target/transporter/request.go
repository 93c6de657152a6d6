// Package transporter sends requests to targets over HTTP/1.1 and tells what became of each: whether it may have run,
// and the whole reply if there is one. It repeats nothing by itself.
package transporter

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is a caller's request in the form in which it is sent to targets.
type Request struct {
	// ID identifies the caller's attempt; a reply to another id belongs to another request.
	ID string
	// Method is the method of the request.
	Method string
	// Fresh requests use a new connection unless one was used a moment ago, because they cannot be repeated if a
	// connection turns out to be dead.
	Fresh bool
	// head is the request line and the headers that are the same for all targets.
	head []byte
	body []byte
}

// NewRequest serialises what is the same for all targets. The header holds the end-to-end headers only.
func NewRequest(id, method, uri, host string, header http.Header, body []byte) *Request {
	var head bytes.Buffer
	head.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = header.Write(&head)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Request{ID: id, Method: method, head: head.Bytes(), body: body}
}

// Head returns the request line and the headers that are the same for all targets.
func (r *Request) Head() []byte { return r.head }

// Body returns the body.
func (r *Request) Body() []byte { return r.body }

// RestoreRequest returns a request that another instance has serialised.
func RestoreRequest(id, method string, head, body []byte) *Request {
	return &Request{ID: id, Method: method, head: head, body: body}
}

// bytes returns the whole request for one target.
func (r *Request) bytes(dialect Dialect, target string, left time.Duration) []byte {
	raw := make([]byte, 0, len(r.head)+len(r.body)+128)
	raw = append(raw, r.head...)
	raw = dialect.AppendHeaders(raw, target, left)
	raw = append(raw, "\r\n"...)
	return append(raw, r.body...)
}

// Reply is a whole reply of a target.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is what the target signed the reply with; it may be empty.
	Signature string
}

// Success reports whether the target answered the request.
func (r *Reply) Success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Outcome tells what became of a request.
type Outcome int

// Outcomes of a request.
const (
	// Unsent requests have not reached the target.
	Unsent Outcome = iota
	// Refused requests have reached the target, which states that it has not run and will not run them.
	Refused
	// Misdirected requests have reached another target, which refused them.
	Misdirected
	// Answered requests have a whole reply.
	Answered
	// Lost requests may have run.
	Lost
)

var outcomeNames = map[Outcome]string{
	Unsent: "unsent", Refused: "refused", Misdirected: "misdirected", Answered: "answered", Lost: "lost",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is what a target tells of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Result is what became of a request.
type Result struct {
	Outcome Outcome
	// Reply is nil unless the request was answered.
	Reply *Reply
	// Load is nil unless the target told its load.
	Load *Load
	// Cold is how long the target stays cold, if it told so.
	Cold time.Duration
	// Err tells why a request was not sent or was lost.
	Err error
	// Latency is the time from the start to the outcome.
	Latency time.Duration
}

// Usable reports whether the reply is a part of an answer: a success that the target has signed.
func (r Result) Usable() bool {
	return r.Outcome == Answered && r.Reply.Success() && r.Reply.Signature != ""
}

// Reading is what the headers of a reply say.
type Reading struct {
	// RequestID is the id of the request that the reply answers; it may be empty.
	RequestID string
	Signature string
	// Refused tells that the target has not run the request and will not run it.
	Refused bool
	// Misdirected tells that another target than the expected one refused the request.
	Misdirected bool
	// Load is nil unless the target told its load.
	Load *Load
	// Cold is how long the target stays cold, if it told so.
	Cold time.Duration
	// IdleLimit is how long the target keeps an idle connection; 0 if it does not tell.
	IdleLimit time.Duration
}

// Dialect is how targets are spoken to.
type Dialect interface {
	// AppendHeaders appends the header lines that bind a request to one start of a target and tell it the time left.
	AppendHeaders(raw []byte, target string, left time.Duration) []byte
	// Read interprets status and headers of a reply.
	Read(status int, header http.Header) Reading
}
