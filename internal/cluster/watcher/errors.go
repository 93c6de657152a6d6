package watcher

import "fmt"

// PlatformError reports that the platform did not provide a value.
type PlatformError struct {
	Key string
	// Status is the HTTP status; 0 if there was no response.
	Status int
	// Cause is nil if the status is the only cause.
	Cause error
}

func (e *PlatformError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("watcher: read %s: %v", e.Key, e.Cause)
	}
	return fmt.Sprintf("watcher: read %s: status %d", e.Key, e.Status)
}

func (e *PlatformError) Unwrap() error {
	return e.Cause
}

// SizeError reports a value that is larger than the size limit.
type SizeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("watcher: read value: larger than %d bytes", e.Limit)
}
