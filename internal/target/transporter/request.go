// Package transporter sends requests to targets over HTTP/1.1 and manages the connections to them, in relay mode. For
// each request it returns the complete reply, or states whether the target may have run the request. The sender uses
// it. The package never repeats a request; the relayer decides on retries.
package transporter

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Request is a caller's request, serialized as far as it is the same for all targets.
type Request struct {
	// ID identifies the caller's attempt. A reply with another ID belongs to another request.
	ID string
	// Method is the HTTP method.
	Method string
	// RequireFreshConnection requires a new or very recently used connection, because the request cannot be repeated if
	// the connection turns out to be closed.
	RequireFreshConnection bool
	// uri, host and credentials are the properties besides method and body by which Properties tells requests apart.
	uri, host, credentials string
	// head is the request line and the headers that are the same for all targets.
	head []byte
	body []byte
}

// NewRequest serializes what is the same for all targets. The header must contain end-to-end headers only.
func NewRequest(id, method, uri, host string, header http.Header, body []byte) *Request {
	var head bytes.Buffer
	head.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// Writing to a bytes.Buffer cannot fail.
	_ = header.Write(&head)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Request{
		ID: id, Method: method, uri: uri, host: host, credentials: header.Get("Authorization"), head: head.Bytes(), body: body,
	}
}

// ParseRequest restores a request that an instance has handed over with its complete head. It has the same properties as the
// original.
func ParseRequest(id string, head, body []byte) (*Request, error) {
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(bytes.Clone(head), "\r\n"...))))
	if err != nil {
		return nil, fmt.Errorf("transporter: parse head of request %s: %w", id, err)
	}
	return &Request{
		ID: id, Method: parsed.Method, uri: parsed.RequestURI, host: parsed.Host, credentials: parsed.Header.Get("Authorization"),
		head: head, body: body,
	}, nil
}

// Host returns the host that the caller has named.
func (r *Request) Host() string { return r.host }

// URI returns the path with the query.
func (r *Request) URI() string { return r.uri }

// Properties returns what identifies requests that are the same to a target: method, host, URI, the caller's credentials
// and body. A request that was restored for a peer has fewer properties.
func (r *Request) Properties() [][]byte {
	return [][]byte{[]byte(r.Method), []byte(r.host), []byte(r.uri), []byte(r.credentials), r.body}
}

// Head returns the request line and the headers that are the same for all targets.
func (r *Request) Head() []byte { return r.head }

// Body returns the body.
func (r *Request) Body() []byte { return r.body }

// RestoreRequest returns a request that was serialized by a peer.
func RestoreRequest(id, method string, head, body []byte) *Request {
	return &Request{ID: id, Method: method, head: head, body: body}
}

// serialize returns the complete request for one target.
func (r *Request) serialize(codec HeaderCodec, target string, timeLeft time.Duration) []byte {
	raw := make([]byte, 0, len(r.head)+len(r.body)+128)
	raw = append(raw, r.head...)
	raw = codec.AppendHeaders(raw, target, timeLeft)
	raw = append(raw, "\r\n"...)
	return append(raw, r.body...)
}

// Reply is a complete reply of a target.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the signature of the target for this reply. It may be empty.
	Signature string
}

// Success reports whether the status is a success (2xx).
func (r *Reply) Success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Outcome states what is known about the execution of a request. Package concentrator sends outcomes between instances
// as numbers, so the numbers must not change.
type Outcome int

// Outcomes of a request.
const (
	// Unsent requests have not reached the target.
	Unsent Outcome = iota
	// Refused requests have reached the target, which states that it has not run and will not run them.
	Refused
	// Misdirected requests have reached a target other than the expected one, which refused them.
	Misdirected
	// Answered requests have a complete reply.
	Answered
	// Lost requests may have run.
	Lost
)

var outcomeNames = map[Outcome]string{
	Unsent: "unsent", Refused: "refused", Misdirected: "misdirected", Answered: "answered", Lost: "lost",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load that a target reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkFactor is the duration of work on the target's machine relative to the usual one, as of NewWorkFactor; 0 if the
	// target does not report it.
	WorkFactor float64
}

const (
	// minWorkFactor and maxWorkFactor limit what a target can state. Machines are up to 2.5 times as slow as usual; a factor
	// near 0 or far above that would outweigh everything that was measured.
	minWorkFactor = 0.1
	maxWorkFactor = 10
)

// NewWorkFactor returns the work factor for the duration of work on a target's machine in percent of the usual one, within
// limits. It returns 0, as for a target that does not report it, if the percentage is not a positive finite number.
func NewWorkFactor(percent float64) float64 {
	if !(percent > 0) || math.IsInf(percent, 0) {
		return 0
	}
	return min(max(percent/percentScale, minWorkFactor), maxWorkFactor)
}

// WorkPercent returns the work factor in percent, rounded.
func (l Load) WorkPercent() int { return int(math.Round(l.WorkFactor * percentScale)) }

const percentScale = 100

// Result is the result of a request.
type Result struct {
	// Outcome must always be set: its zero value Unsent states that the request can be retried safely.
	Outcome Outcome
	// Reply is nil unless the request was answered.
	Reply *Reply
	// Load is nil if the reply does not report it.
	Load *Load
	// ColdFor is how long the target remains cold, or 0 if the reply does not state it.
	ColdFor time.Duration
	// RequestLimit is the number of requests per second that the target takes from all instances together; nil if the
	// reply does not state it.
	RequestLimit *float64
	// Leaving reports whether the target states that it leaves, so that it gets no more requests.
	Leaving bool
	// PausedFor is how long the target wants no more requests from the instance that sent this one, or 0 if the reply does
	// not state it.
	PausedFor time.Duration
	// OnNewConnection reports whether a lost request was the first on its connection, so that the connection may not have
	// led to the target.
	OnNewConnection bool
	// Err is the reason why a request was not sent or was lost; nil for other outcomes.
	Err error
	// Latency is the time from the start of the request to its outcome.
	Latency time.Duration
	// ThroughPeer reports whether another instance sent the request. Latency was measured there.
	ThroughPeer bool
}

// CanBeMerged reports whether the reply can be a part of a merged answer: it is a success and carries a signature,
// which is not verified.
func (r Result) CanBeMerged() bool {
	return r.Outcome == Answered && r.Reply.Success() && r.Reply.Signature != ""
}

// ReplyInfo is the interpretation of a reply's status and headers.
type ReplyInfo struct {
	// RequestID is the ID of the request that the reply answers; empty if the reply does not state it.
	RequestID string
	Signature string
	// Refused reports whether the target has not run the request and will not run it.
	Refused bool
	// Misdirected reports whether a target other than the expected one refused the request.
	Misdirected bool
	// Load is nil if the reply does not report it.
	Load *Load
	// ColdFor is how long the target remains cold, or 0 if the reply does not state it.
	ColdFor time.Duration
	// RequestLimit is the number of requests per second that the target takes from all instances together; nil if the
	// reply does not state it.
	RequestLimit *float64
	// Leaving reports whether the target states that it leaves.
	Leaving bool
	// PausedFor is how long the target wants no more requests from this instance, or 0 if the reply does not state it.
	PausedFor time.Duration
	// IdleLimit is how long the target keeps an idle connection open, or 0 if the reply does not state it.
	IdleLimit time.Duration
}

// HeaderCodec defines the headers of the protocol between instances and targets.
type HeaderCodec interface {
	// AppendHeaders appends the header lines that bind a request to one start of a target and state the time left.
	AppendHeaders(raw []byte, target string, timeLeft time.Duration) []byte
	// ParseReply interprets the status and headers of a reply.
	ParseReply(status int, header http.Header) ReplyInfo
}
