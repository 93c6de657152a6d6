package planner

import "fmt"

// NoManifestError reports that the instance has no manifest yet.
type NoManifestError struct{}

func (e *NoManifestError) Error() string {
	return "planner: plan: no manifest"
}

// UnknownClassError reports a query class that the manifest does not define.
type UnknownClassError struct {
	Class string
}

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("planner: plan: unknown query class %q", e.Class)
}

// KeyError reports a missing key of a keyed query class, or a key for a class that queries all shards.
type KeyError struct {
	Class string
	// KeyRequired reports whether the class requires a key.
	KeyRequired bool
}

func (e *KeyError) Error() string {
	if e.KeyRequired {
		return fmt.Sprintf("planner: plan: query class %q needs a key", e.Class)
	}
	return fmt.Sprintf("planner: plan: query class %q takes no key", e.Class)
}
