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

	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/standin/rehearser"
	"apricotflow/platform"
)

var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "apricotflow")
	command := exec.Command("go", "build", "-o", program, "../../..")
	command.Stderr = os.Stderr
	return program, command.Run()
})

func start(t *testing.T) *rehearser.World {
	t.Helper()
	program, err := build()
	assert.NilError(t, err)
	w, err := rehearser.NewWorld(program, t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(w.Close)
	return w
}

func check(t *testing.T, r rehearser.Report) {
	t.Helper()
	for _, v := range r.Violations {
		t.Error(v)
	}
}

// answered also fails the test for requests whose connection ended without an answer.
func answered(t *testing.T, r rehearser.Report) {
	t.Helper()
	check(t, r)
	for _, cause := range r.Causes {
		t.Error(cause)
	}
}

// The whole path: every answer is right, whole and in time, though targets pause.
func TestCalmRehearsal(t *testing.T) {
	w := start(t)
	r := w.Load(t.Context(), 60, 3*time.Second)
	answered(t, r)
	assert.Equal(t, r.Failed, 0)
	assert.Assert(t, r.Coverage() > 0.98, r.Coverage())
}

// A planned stop cuts off nothing: requests on kept connections are served until the end, and the balancer hears first.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	w := start(t)
	stopped := make(chan error, 1)
	time.AfterFunc(time.Second, func() { stopped <- w.Program(0).Signal(syscall.SIGTERM) })
	r := w.Load(t.Context(), 60, 6*time.Second)
	answered(t, r)
	assert.NilError(t, <-stopped)
	assert.Equal(t, r.Failed, 0)
	code, err := w.Program(0).Wait(6 * time.Second)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
}

// A killed instance loses what it was working on, and nothing else; nothing runs twice.
func TestKilledInstance(t *testing.T) {
	w := start(t)
	time.AfterFunc(time.Second, func() { _ = w.Program(1).Kill() })
	r := w.Load(t.Context(), 60, 3*time.Second)
	check(t, r)
	assert.Assert(t, r.Failed < 10, r.Failed)
	assert.NilError(t, w.Start(1))
	assert.NilError(t, w.WaitReady(1))
	answered(t, w.Load(t.Context(), 60, time.Second))
}

// A fresh instance serves from what the others know while the store is away.
func TestFreshInstanceWithoutStore(t *testing.T) {
	w := start(t)
	time.Sleep(2500 * time.Millisecond)
	assert.NilError(t, w.Program(2).Kill())
	w.Store().Fail(keeper.Busy)
	assert.NilError(t, w.Start(2))
	assert.NilError(t, w.WaitReady(2))
	r := w.Load(t.Context(), 60, time.Second)
	answered(t, r)
	assert.Equal(t, r.Failed, 0)
}

// A draining target gets nothing 3 s after its report, and a changed configuration serves all the while.
func TestDrainAndConfigurationUnderLoad(t *testing.T) {
	w := start(t)
	id := w.AddTarget("parts00", "east", 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for v := 0; v < 12 && ctx.Err() == nil; v++ {
			w.Configure()
			time.Sleep(250 * time.Millisecond)
		}
	}()
	answered(t, w.Load(t.Context(), 40, time.Second))
	w.Drain(id, "parts00", "east")
	at := time.Now()
	r := w.Load(t.Context(), 40, 4*time.Second)
	answered(t, r)
	assert.Equal(t, r.Failed, 0)
	assert.Equal(t, w.Reached(id, at.Add(3*time.Second)), 0)
}

// A suspended instance wakes up with old beliefs; nothing that it does then breaks a guarantee.
func TestSuspendedInstance(t *testing.T) {
	w := start(t)
	assert.NilError(t, w.Program(0).Signal(syscall.SIGSTOP))
	time.AfterFunc(2*time.Second, func() { _ = w.Program(0).Signal(syscall.SIGCONT) })
	w.Store().Put(platform.PrefixEvacuate+"west", map[string]any{})
	time.Sleep(2500 * time.Millisecond)
	r := w.Load(t.Context(), 40, 2*time.Second)
	answered(t, r)
	assert.Equal(t, r.Failed, 0)
}
