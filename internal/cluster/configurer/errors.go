package configurer

import "fmt"

// ManifestError reports a manifest that was refused because it is invalid.
type ManifestError struct {
	// Source names where the manifest came from.
	Source string
	// Cause is never nil.
	Cause error
}

func (e *ManifestError) Error() string {
	return fmt.Sprintf("configurer: apply manifest from %s: %v", e.Source, e.Cause)
}

func (e *ManifestError) Unwrap() error {
	return e.Cause
}

// MembersError reports a member list that was refused because it is invalid.
type MembersError struct {
	// Source names where the member list came from.
	Source string
	// Cause is never nil.
	Cause error
}

func (e *MembersError) Error() string {
	return fmt.Sprintf("configurer: apply member list from %s: %v", e.Source, e.Cause)
}

func (e *MembersError) Unwrap() error {
	return e.Cause
}
