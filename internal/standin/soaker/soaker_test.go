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

// A seed that gives another schedule cannot repeat a finding, and a fault kind that is never drawn finds nothing.
func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	plan, err := deployer.New(deployer.Ulaanbaatar, 10, nil)
	assert.NilError(t, err)
	faults := soaker.Schedule(7, plan, 4, 5*time.Minute)
	assert.DeepEqual(t, faults, soaker.Schedule(7, plan, 4, 5*time.Minute))
	kinds := make(map[soaker.Kind]bool)
	together := 0
	for i, f := range faults {
		kinds[f.Kind] = true
		assert.Assert(t, f.From < f.Until && f.Until <= 5*time.Minute, f.String())
		if i > 0 && f.From < faults[i-1].Until {
			together++
		}
	}
	assert.Equal(t, len(kinds), 19)
	assert.Assert(t, together > len(faults)/2)
}

func soak(t *testing.T, targetFlags ...string) (string, string, error) {
	t.Helper()
	t.Parallel()
	deployments <- struct{}{}
	defer func() { <-deployments }()
	var output bytes.Buffer
	directory := filepath.Join(t.TempDir(), "soak")
	err := soaker.Run(t.Context(), soaker.Settings{
		Standin: program("standin"), Apricotflow: program("apricotflow"), Deployment: deployer.Ulaanbaatar,
		Duration: 5 * time.Second, Seed: 1, Rate: 60, Directory: directory, TargetFlags: targetFlags, Output: &output,
	})
	return directory, output.String(), err
}

// A soak that misses an overload, which targets with a lower cold limit than in the manifest suffer, proves nothing.
func TestSoakFindsColdOverload(t *testing.T) {
	directory, output, err := soak(t, "--cold-limit", "0")
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

// A change that breaks a guarantee under faults must fail here, at least for one fixed seed.
func TestSoakOfTheProduct(t *testing.T) {
	_, output, err := soak(t)
	assert.NilError(t, err, output)
}
