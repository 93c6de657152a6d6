package rehearser

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// ViolationsError reports answers that broke a guarantee, or a load without any answer.
type ViolationsError struct {
	Violations []string
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("rehearser: %d violations or no answers: %v", len(e.Violations), e.Violations)
}

// Demo runs a load on three instances for a while and prints what it has seen.
func Demo(ctx context.Context, program string, rate float64, duration time.Duration, output io.Writer) error {
	folder, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		return fmt.Errorf("rehearser: folder for logs: %w", err)
	}
	// What cannot be removed from the temporary folder is the system's to remove.
	defer func() { _ = os.RemoveAll(folder) }()
	w, err := NewWorld(program, folder)
	if err != nil {
		return err
	}
	defer w.Close()
	r := w.Load(ctx, rate, duration)
	_, _ = fmt.Fprintf(output, "relay          %.0f     %.1f     %.1f    %.4f    %d failed, %d late of %d, %d violations\n",
		rate, milliseconds(r.Quantile(median)), milliseconds(r.Quantile(high)), r.Coverage(), r.Failed, r.Late, r.Searches+r.Orders, len(r.Violations))
	if len(r.Violations) > 0 || r.Parts == 0 {
		return &ViolationsError{Violations: r.Violations}
	}
	return nil
}

// Quantiles that the demo prints.
const (
	median = 0.5
	high   = 0.99
)

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
