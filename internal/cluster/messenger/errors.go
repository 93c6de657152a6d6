package messenger

import "fmt"

// NotSentError reports a request or notification of which no byte was sent, for whatever reason: also because the
// message is too large or the send queue is full. It is safe to send it again.
type NotSentError struct {
	Instance string
	Method   string
	// Cause is never nil.
	Cause error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("messenger: reach %s for %s: %v", e.Instance, e.Method, e.Cause)
}

func (e *NotSentError) Unwrap() error {
	return e.Cause
}

// NoReplyError reports a request that may have been sent and has no valid reply, for example because the connection or
// the context ended. The peer may have handled it.
type NoReplyError struct {
	Instance string
	Method   string
	// Cause is never nil.
	Cause error
}

func (e *NoReplyError) Error() string {
	return fmt.Sprintf("messenger: no reply from %s to %s: %v", e.Instance, e.Method, e.Cause)
}

func (e *NoReplyError) Unwrap() error {
	return e.Cause
}

// RemoteError reports a request that the peer replied to with an error, also if its handler failed or panicked.
type RemoteError struct {
	Instance string
	Method   string
	Code     Code
	Message  string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("messenger: %s replied to %s with an error: %s (code %d)", e.Instance, e.Method, e.Message, e.Code)
}

// IdentityError reports a connection that reached an unexpected instance.
type IdentityError struct {
	// Expected is the name of the expected instance, or "another instance" if the messenger reached its own instance.
	Expected string
	Actual   string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("messenger: hello: expected %s, found instance %q", e.Expected, e.Actual)
}

// IncarnationError reports a message to a start of an instance whose name now belongs to another start.
type IncarnationError struct {
	Instance string
	Expected string
	Actual   string
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("messenger: incarnation %s of %s has been replaced by %s", e.Expected, e.Instance, e.Actual)
}

// SizeError reports a message that exceeds the size limit.
type SizeError struct {
	// Bytes is the size of the message in bytes.
	Bytes int
	// Limit is the maximum size in bytes.
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("messenger: message of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// AddressError reports an instance without a known address.
type AddressError struct {
	Instance string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("messenger: no peer address known for instance %q", e.Instance)
}

// ClosedError reports use of a closed messenger or connection.
type ClosedError struct{}

func (e *ClosedError) Error() string {
	return "messenger: messenger or connection is closed"
}

// SilentError reports a connection that was closed because the peer sent no heartbeats.
type SilentError struct{}

func (e *SilentError) Error() string {
	return "messenger: connection closed after missing heartbeats"
}

// QueueFullError reports a connection whose send queue is full.
type QueueFullError struct{}

func (e *QueueFullError) Error() string {
	return "messenger: send queue of the connection is full"
}

// Code is a JSON-RPC error code.
type Code int64

// Codes of a RemoteError. CodeFailed is an error returned by the handler.
const (
	CodeUnknownMethod Code = -32601
	CodeInvalid       Code = -32602
	CodePanic         Code = -32603
	CodeFailed        Code = 1
)

// ListenError reports a failure to listen on the address of the messenger.
type ListenError struct {
	Address string
	// Cause is never nil.
	Cause error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("messenger: listen at %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error {
	return e.Cause
}
