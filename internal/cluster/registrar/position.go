package registrar

import (
	"cmp"
	"fmt"
)

// Position is a position in the changes of the platform's store. When the store comes back from an older copy, it starts
// another epoch, in which it gives the revisions after the copy out again. Revisions of different epochs therefore say
// nothing about each other. The zero value precedes all positions of a store.
type Position struct {
	// Epoch rises by one each time that the store comes back from a copy.
	Epoch int
	// Revision rises with each change within an epoch.
	Revision int
}

// Compare returns a negative number if p precedes q, 0 if they are equal, and a positive number if p follows q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// Precedes reports whether p precedes q.
func (p Position) Precedes(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the zero value.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the epoch and the revision, such as "2/57".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch, p.Revision) }

// Later returns the later one of two positions.
func Later(p, q Position) Position {
	if p.Precedes(q) {
		return q
	}
	return p
}
