package gossiper

import "slices"

const (
	// pushAll is the largest number of peers that one instance tells of a newer value by itself.
	pushAll = 16
	// pushFanOut is the number of peers that each instance tells otherwise. Those reached tell as many; the few that
	// are not reached, about e^-8 of all, learn of the value from the periodic exchange.
	pushFanOut = 8
)

// PushTargets returns the peers to tell of a newer value, out of those that are not known to have it, which it reorders.
// Peers that do not answer come last, so that they do not delay the others.
func PushTargets(behind []string, failed func(string) bool, shuffle func(n int, swap func(i, j int))) []string {
	shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	slices.SortStableFunc(behind, func(a, b string) int {
		switch {
		case failed(a) == failed(b):
			return 0
		case failed(b):
			return -1
		default:
			return 1
		}
	})
	if len(behind) <= pushAll {
		return behind
	}
	return behind[:pushFanOut]
}
