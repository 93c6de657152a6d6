package soaker_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/soaker"
)

// Guards against a schedule that differs for the same seed, so that a violation cannot be reproduced, and against kinds
// of fault that are never drawn.
func TestScheduleIsReproducibleForSeed(t *testing.T) {
	plan, err := deployer.New(deployer.Ulaanbaatar, 10, nil)
	assert.NilError(t, err)
	faults := soaker.Schedule(7, plan, 4, 5*time.Minute)
	assert.DeepEqual(t, faults, soaker.Schedule(7, plan, 4, 5*time.Minute))
	kinds := make(map[soaker.Kind]bool)
	overlapping := 0
	for i, f := range faults {
		kinds[f.Kind] = true
		assert.Assert(t, f.From < f.Until && f.Until <= 5*time.Minute, f.String())
		if i > 0 && f.From < faults[i-1].Until {
			overlapping++
		}
	}
	assert.Equal(t, len(kinds), 19)
	assert.Assert(t, overlapping > len(faults)/2)
}

func runSoak(t *testing.T, targetFlags ...string) (string, string, error) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	defer func() { <-deploymentSlots }()
	var output bytes.Buffer
	directory := filepath.Join(t.TempDir(), "soak")
	err := soaker.Run(t.Context(), soaker.Settings{
		Standin: programPath("standin"), Apricotflow: programPath("apricotflow"), Deployment: deployer.Ulaanbaatar,
		Duration: 5 * time.Second, Seed: 1, Rate: 60, Directory: directory, TargetFlags: targetFlags, Output: &output,
	})
	return directory, output.String(), err
}

// Guards against a soak that does not notice overloaded cold targets. The targets run with a lower cold limit than the
// manifest gives, so that the instances overload them.
func TestSoakReportsColdOverload(t *testing.T) {
	directory, output, err := runSoak(t, "--cold-limit", "0")
	var violations *soaker.ViolationsError
	assert.Assert(t, errors.As(err, &violations), "%v\n%s", err, output)
	assert.Equal(t, violations.Violations[0].Kind, "cold-overload")
	for _, name := range []string{"violations.txt", "timeline.txt", "instance-1.log"} {
		raw, err := os.ReadFile(filepath.Join(directory, name))
		assert.NilError(t, err)
		assert.Assert(t, len(raw) > 0, name)
	}
	assert.Assert(t, strings.Contains(err.Error(), "seed 1") && strings.Contains(err.Error(), directory))
}

// Guards against changes that break a guarantee under faults, for one fixed seed.
func TestSoakReportsNoViolation(t *testing.T) {
	_, output, err := runSoak(t)
	assert.NilError(t, err, output)
}
