package rehearser

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// ViolationsError reports a demo in which an answer broke a guarantee, or in which no answer contained any part.
type ViolationsError struct {
	Violations []string
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("rehearser: %d violations (if 0, no answer contained any part): %v", len(e.Violations), e.Violations)
}

// Demo runs a load on all instances for the duration and prints a line with the results.
func Demo(ctx context.Context, program string, rate float64, duration time.Duration, output io.Writer) error {
	directory, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		return fmt.Errorf("rehearser: create directory for logs: %w", err)
	}
	// Errors are ignored, because the operating system cleans up its directory for temporary files.
	defer func() { _ = os.RemoveAll(directory) }()
	d, err := NewDeployment(program, directory)
	if err != nil {
		return err
	}
	defer d.Close()
	r := d.RunLoad(ctx, rate, duration)
	_, _ = fmt.Fprintf(output, "relay          %.0f     %.1f     %.1f    %.4f    %d failed, %d late of %d, %d violations\n",
		rate, milliseconds(r.Quantile(medianQuantile)), milliseconds(r.Quantile(highQuantile)), r.Coverage(), r.Failed, r.Late, r.Searches+r.Orders, len(r.Violations))
	if len(r.Violations) > 0 || r.Parts == 0 {
		return &ViolationsError{Violations: r.Violations}
	}
	return nil
}

// Quantiles of the latency that the demo prints.
const (
	medianQuantile = 0.5
	highQuantile   = 0.99
)

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
