package rehearser_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/rehearser"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the soak")
	seeds     = flag.Int("seeds", 2, "number of seeds of the soak")
	instances = flag.Int("instances", 0, "number of instances in the soak, if larger than usual")
)

// soakDuration is the duration of the load under faults for each seed.
const soakDuration = 8 * time.Second

// Guards against violations under random faults that overlap and repeat, and against requests that fail after the faults
// have ended. To run more seeds by hand, and with -instances a larger deployment: go test -run TestSoakReportsNoViolation
// -timeout 60m ./internal/standin/rehearser -seeds 50 -first-seed 100.
func TestSoakReportsNoViolation(t *testing.T) {
	program, err := buildProgram()
	assert.NilError(t, err)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		violations, log, err := rehearser.Soak(t.Context(), program, t.TempDir(), seed, soakDuration, rehearser.WithInstances(*instances))
		assert.NilError(t, err)
		for _, v := range violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if len(violations) > 0 {
			t.Logf("seed %d drew %q", seed, log)
		}
	}
}
