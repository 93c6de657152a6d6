package timekeeper

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
