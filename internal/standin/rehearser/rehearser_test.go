package rehearser_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/rehearser"
	"apricotflow/platform"
)

var buildProgram = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		return "", err
	}
	program := filepath.Join(directory, "apricotflow")
	command := exec.Command("go", "build", "-o", program, "../../..")
	command.Stderr = os.Stderr
	return program, command.Run()
})

func startDeployment(t *testing.T) *rehearser.Deployment {
	t.Helper()
	program, err := buildProgram()
	assert.NilError(t, err)
	d, err := rehearser.NewDeployment(program, t.ArtifactDir())
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

func reportViolations(t *testing.T, r rehearser.Report) {
	t.Helper()
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// requireAllAnswered reports violations, and fails the test for every request whose connection ended without an answer.
func requireAllAnswered(t *testing.T, r rehearser.Report) {
	t.Helper()
	reportViolations(t, r)
	for _, cause := range r.UnansweredCauses {
		t.Error(cause)
	}
}

// Guards against failed requests, wrong answers and low coverage while targets pause from time to time but nothing
// fails.
func TestNearlyFullCoverageWithoutFaults(t *testing.T) {
	d := startDeployment(t)
	r := d.RunLoad(t.Context(), 60, 3*time.Second)
	requireAllAnswered(t, r)
	assert.Equal(t, r.Failed, 0)
	assert.Assert(t, r.Coverage() > 0.98, r.Coverage())
}

// Guards against a graceful stop that cuts off requests: requests on kept connections must be served until the end, and
// the load balancer must learn of the stop first.
func TestGracefulStopFailsNoRequests(t *testing.T) {
	d := startDeployment(t)
	stopped := make(chan error, 1)
	time.AfterFunc(time.Second, func() { stopped <- d.Program(0).Signal(syscall.SIGTERM) })
	r := d.RunLoad(t.Context(), 60, 6*time.Second)
	requireAllAnswered(t, r)
	assert.NilError(t, <-stopped)
	assert.Equal(t, r.Failed, 0)
	code, err := d.Program(0).Wait(6 * time.Second)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
}

// Guards against a killed instance that loses more than its requests in progress, and against orders that run twice.
func TestKilledInstanceLosesOnlyItsRequests(t *testing.T) {
	d := startDeployment(t)
	time.AfterFunc(time.Second, func() { _ = d.Program(1).Kill() })
	r := d.RunLoad(t.Context(), 60, 3*time.Second)
	reportViolations(t, r)
	assert.Assert(t, r.Failed < 10, r.Failed)
	assert.NilError(t, d.Start(1))
	assert.NilError(t, d.WaitReady(1))
	requireAllAnswered(t, d.RunLoad(t.Context(), 60, time.Second))
}

// Guards against a restarted instance that cannot serve while the store is down, although its peers know the state.
func TestRestartedInstanceServesWhenStoreIsDown(t *testing.T) {
	d := startDeployment(t)
	time.Sleep(2500 * time.Millisecond)
	assert.NilError(t, d.Program(2).Kill())
	d.Store().SetFault(keeper.Busy)
	assert.NilError(t, d.Start(2))
	assert.NilError(t, d.WaitReady(2))
	r := d.RunLoad(t.Context(), 60, time.Second)
	requireAllAnswered(t, r)
	assert.Equal(t, r.Failed, 0)
}

// Guards against requests that reach a draining target more than 3 s after it was registered as draining, and
// against changes of the configuration that interrupt serving.
func TestDrainedTargetGetsNoRequestsDuringConfigurationChanges(t *testing.T) {
	d := startDeployment(t)
	id := d.AddTarget("parts00", "east", 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for v := 0; v < 12 && ctx.Err() == nil; v++ {
			d.PublishConfig()
			time.Sleep(250 * time.Millisecond)
		}
	}()
	requireAllAnswered(t, d.RunLoad(t.Context(), 40, time.Second))
	d.DrainTarget(id, "parts00", "east")
	at := time.Now()
	r := d.RunLoad(t.Context(), 40, 4*time.Second)
	requireAllAnswered(t, r)
	assert.Equal(t, r.Failed, 0)
	assert.Equal(t, d.ReceivedAfter(id, at.Add(3*time.Second)), 0)
}

// Guards against callers of instances that reach no target being refused, although others could serve their requests:
// callers stay on open connections, and most instances may be stranded at once.
func TestCallersOfStrandedInstancesAreServed(t *testing.T) {
	for _, mode := range []forwarder.Mode{forwarder.ModeCut, forwarder.ModeCutNew} {
		t.Run(string(mode), func(t *testing.T) {
			d := startDeployment(t)
			requireAllAnswered(t, d.RunLoad(t.Context(), 60, time.Second))
			stranded := []int{1, 2, 3}
			for _, i := range stranded {
				d.Strand(i, mode)
			}
			// Instances may take this time to notice.
			reportViolations(t, d.RunLoadAt(t.Context(), stranded, 60, 2*time.Second))
			atStranded := d.RunLoadAt(t.Context(), stranded, 60, 3*time.Second)
			requireAllAnswered(t, atStranded)
			assert.Assert(t, atStranded.Failed <= 3, "%d of 180 requests at stranded instances failed", atStranded.Failed)
			assert.Assert(t, atStranded.Coverage() > 0.97, atStranded.Coverage())
			for _, i := range stranded {
				d.Strand(i, forwarder.ModeNormal)
			}
			time.Sleep(time.Second)
			after := d.RunLoad(t.Context(), 60, time.Second)
			requireAllAnswered(t, after)
			assert.Equal(t, after.Failed, 0)
		})
	}
}

// Guards against an instance that breaks a guarantee when it resumes after a suspension, because its state is outdated.
func TestResumedInstanceKeepsGuarantees(t *testing.T) {
	d := startDeployment(t)
	assert.NilError(t, d.Program(0).Signal(syscall.SIGSTOP))
	time.AfterFunc(2*time.Second, func() { _ = d.Program(0).Signal(syscall.SIGCONT) })
	d.Store().Put(platform.PrefixClosedDomains+"west", map[string]any{})
	time.Sleep(2500 * time.Millisecond)
	r := d.RunLoad(t.Context(), 40, 2*time.Second)
	requireAllAnswered(t, r)
	assert.Equal(t, r.Failed, 0)
}
