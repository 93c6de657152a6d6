package gossiper

import "slices"

const (
	// maxPushToAll is the maximum number of outdated peers for which one instance pushes a newer value to all of them.
	maxPushToAll = 16
	// pushFanout is the number of peers to which each instance pushes otherwise. Each peer reached pushes to as many
	// again. Since peers are chosen at random, about e^-8 of all are not reached; they learn of the value from the
	// periodic exchange.
	pushFanout = 8
)

// SelectPushPeers returns the peers to which a newer value is pushed, that is, with which this instance exchanges so
// that they fetch the value. They are chosen at random from the outdated ones, which it reorders. Unreachable peers
// come last, so that they do not delay the others.
func SelectPushPeers(outdated []string, unreachable func(string) bool, shuffle func(n int, swap func(i, j int))) []string {
	shuffle(len(outdated), func(i, j int) { outdated[i], outdated[j] = outdated[j], outdated[i] })
	slices.SortStableFunc(outdated, func(a, b string) int {
		switch {
		case unreachable(a) == unreachable(b):
			return 0
		case unreachable(b):
			return -1
		default:
			return 1
		}
	})
	if len(outdated) <= maxPushToAll {
		return outdated
	}
	return outdated[:pushFanout]
}
