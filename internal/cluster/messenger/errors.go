package messenger

import "fmt"

// UnreachableError reports that no byte of a request or notification was sent.
type UnreachableError struct {
	Instance string
	Method   string
	// Cause is never nil.
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("messenger: reach %s for %s: %v", e.Instance, e.Method, e.Cause)
}

func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// LostError reports that a request may have been sent and has no valid reply.
type LostError struct {
	Instance string
	Method   string
	// Cause is never nil.
	Cause error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("messenger: await reply of %s to %s: %v", e.Instance, e.Method, e.Cause)
}

func (e *LostError) Unwrap() error {
	return e.Cause
}

// RemoteError reports that the other instance answered with an error.
type RemoteError struct {
	Instance string
	Method   string
	Code     Code
	Message  string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("messenger: %s refused %s: %s (code %d)", e.Instance, e.Method, e.Message, e.Code)
}

// IdentityError reports a connection to another instance than expected.
type IdentityError struct {
	Expected string
	Actual   string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("messenger: hello: expected instance %q, found %q", e.Expected, e.Actual)
}

// SizeError reports a message above the size limit.
type SizeError struct {
	// Bytes is the size of the message.
	Bytes int
	// Limit is in bytes.
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("messenger: check size of message: %d bytes are above the limit of %d", e.Bytes, e.Limit)
}

// AddressError reports an instance without a known address.
type AddressError struct {
	Instance string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("messenger: resolve instance %q: no address", e.Instance)
}

// ClosedError reports use of a closed messenger or connection.
type ClosedError struct{}

func (e *ClosedError) Error() string {
	return "messenger: use connection: closed"
}

// SilentError reports a connection that is open but carries no heartbeats.
type SilentError struct{}

func (e *SilentError) Error() string {
	return "messenger: await message: connection is silent"
}

// QueueError reports a connection whose send queue is full.
type QueueError struct{}

func (e *QueueError) Error() string {
	return "messenger: send: queue is full"
}

// Code is a JSON-RPC error code.
type Code int64

// Codes of a RemoteError.
const (
	CodeUnknownMethod Code = -32601
	CodeInvalid       Code = -32602
	CodePanic         Code = -32603
	CodeFailed        Code = 1
)

// ListenError reports an address that cannot be listened at.
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
