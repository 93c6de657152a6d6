// Package soaker runs a deployment under continuous load with random faults and checks the guarantees.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// scale leaves 14 targets of Ulaanbaatar and 16 of Dar es Salaam.
	scale = 10
	// instances is the number of entry instances at the start.
	instances = 4
	// readyLimit is how long the instances may take until they are ready.
	readyLimit = 30 * time.Second
	// resendPercent of the tickets are sent twice.
	resendPercent = 30
	// window is the duration of one run of the driver, quietWindow of one after the last fault.
	window, quietWindow = 5 * time.Second, 2 * time.Second
	// recoveryLimit is how long the coverage may stay below 1.0 after the last fault.
	recoveryLimit = 20 * time.Second
	// coldTime and coldAnswers are what a target needs to become warm.
	coldTime, coldAnswers = time.Second, 20
)

// Settings describe a soak.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	Deployment           string
	// Duration is the time with faults.
	Duration time.Duration
	Seed     uint64
	// Rate is in queries per second.
	Rate float64
	// Directory receives the output of all processes, and the findings after a violation.
	Directory string
	// TargetFlags are further flags of all targets.
	TargetFlags []string
	Output      io.Writer
}

// ViolationsError reports a soak in which a guarantee was broken.
type ViolationsError struct {
	Seed       uint64
	Directory  string
	Violations []driver.Violation
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("soaker: seed %d: %d violations, findings in %s", e.Seed, len(e.Violations), e.Directory)
}

// run is one soak.
type run struct {
	settings Settings
	launcher *launcher.Launcher
	world    *world
	faults   []Fault
	// began is the start of the run, start that of the schedule.
	began, start time.Time
	events       *journal
	// cancel ends faults and load after a violation.
	cancel context.CancelFunc
	// publishing is held while a manifest is being published.
	publishing sync.Mutex

	printing sync.Mutex

	mu         sync.Mutex
	violations []driver.Violation
	// versions hold all versions of each index so far.
	versions map[string][]encoder.IndexVersion
	samples  map[string]sample
}

// Run runs the schedule of the seed and returns a *ViolationsError when a guarantee was broken.
func Run(parent context.Context, s Settings) error {
	plan, err := deployer.New(s.Deployment, scale, launcher.FreeAddress)
	if err != nil {
		return err
	}
	if err := errors.Join(os.RemoveAll(s.Directory), os.MkdirAll(s.Directory, 0o755)); err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r := &run{
		settings: s, cancel: cancel, events: newJournal(), faults: Schedule(s.Seed, plan, instances, s.Duration),
		began: time.Now(), versions: make(map[string][]encoder.IndexVersion), samples: make(map[string]sample),
	}
	r.print("%s for %s, seed %d, schedule:\n%s", s.Deployment, s.Duration, s.Seed, r.schedule())
	// The launcher must outlive the end of ctx, so that the findings hold the events of all instances.
	r.launcher, err = launcher.Start(context.WithoutCancel(ctx), launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Directory: s.Directory, Plan: plan, Instances: instances, Links: true,
		TargetFlags: func(encoder.Target) []string {
			return append([]string{
				"--latency-ms", fmt.Sprint(plan.DomainLatency.Seconds() * 1000),
				"--service-ms", "1", "--straggler-percent", "1", "--straggler-ms", "20",
				"--cold-ms", fmt.Sprint(coldTime.Milliseconds()), "--cold-answers", fmt.Sprint(coldAnswers),
			}, s.TargetFlags...)
		},
		Change: strict,
	})
	if err != nil {
		return err
	}
	defer r.launcher.Close()
	if err := r.soak(ctx); err != nil {
		return err
	}
	// An interrupted soak has not shown that there is no violation.
	return parent.Err()
}

// strict makes a violated invariant end the instance, and shortens its stop.
func strict(s *encoder.Settings) {
	strict, balancer := true, 500
	s.StrictInvariants, s.BalancerMs = &strict, &balancer
}

func (r *run) soak(ctx context.Context) error {
	domains := make(map[string]string)
	for _, service := range r.launcher.Manifest().Services {
		for _, t := range service.Targets {
			domains[t.Name] = t.FailureDomain
		}
	}
	r.world = newWorld(domains, r.manifest().Generation)
	if err := r.launcher.WaitReady(ctx, readyLimit); err != nil {
		return err
	}
	observing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var observer sync.WaitGroup
	observer.Go(func() { r.observe(observing) })
	r.recover(ctx, "start")
	err := r.disturb(ctx)
	if ctx.Err() == nil && err == nil {
		r.recover(ctx, "end")
	}
	stop()
	observer.Wait()
	r.mu.Lock()
	violations := slices.Clone(r.violations)
	r.mu.Unlock()
	if len(violations) == 0 {
		return err
	}
	return errors.Join(r.report(violations), err)
}

// disturb applies the faults under load until all have ended.
func (r *run) disturb(ctx context.Context) error {
	r.start = time.Now()
	var applying sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for _, f := range r.faults {
		applying.Go(func() {
			if err := r.inject(ctx, f); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Errorf("soaker: %s: %w", f, err))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		applying.Wait()
		close(done)
	}()
	for running := true; running && ctx.Err() == nil; {
		r.load(ctx, window)
		select {
		case <-done:
			running = false
		default:
		}
	}
	<-done
	return errors.Join(failures...)
}

// inject applies a fault at its time and undoes it, also when ctx has ended in between.
func (r *run) inject(ctx context.Context, f Fault) error {
	if !sleep(ctx, time.Until(r.start.Add(f.From))) {
		return nil
	}
	r.events.note("fault-started", f)
	after := context.WithoutCancel(ctx)
	end, err := r.apply(after, f)
	if end == nil {
		return err
	}
	sleep(ctx, time.Until(r.start.Add(f.Until)))
	err = errors.Join(err, end(after))
	r.events.note("fault-ended", f)
	return err
}

// load sends queries for a while, verifies them and returns the result.
func (r *run) load(ctx context.Context, d time.Duration) driver.Result {
	result := driver.New(driver.Settings{
		Manifest: r.manifest(), Newest: r.manifest, Entries: r.launcher.Callers(), Targets: r.launcher.Controls(),
		Rate: r.settings.Rate, Duration: d, Seed: r.settings.Seed + uint64(time.Since(r.began)), ResendPercent: resendPercent,
	}).Run(ctx)
	r.print("%8s  %.0f answers/s, p99 %.0f ms, coverage %.4f, minimum %.2f, outcomes %v, codes %v, violations %d",
		time.Since(r.began).Round(time.Millisecond), result.Rate, result.P99Ms, result.CoverageMean, result.CoverageMinimum,
		result.Outcomes, result.Codes, result.ViolationCount)
	for _, v := range result.Violations {
		r.violate(v.Kind, v.Detail)
	}
	return result
}

// recover waits until every query has a complete answer, which must be within a limit.
func (r *run) recover(ctx context.Context, when string) {
	began := time.Now()
	for ctx.Err() == nil {
		late := time.Since(began) > recoveryLimit
		result := r.load(ctx, quietWindow)
		if result.Outcomes[encoder.QueryOutcomeComplete] == result.Sent {
			return
		}
		if late && ctx.Err() == nil {
			r.violate("not-recovered", fmt.Sprintf("%s: coverage %.4f, outcomes %v, codes %v %s after the last fault",
				when, result.CoverageMean, result.Outcomes, result.Codes, recoveryLimit))
			return
		}
	}
}

// manifest returns the newest manifest with every version of each index that was ever published, because an
// instance that is cut off answers from old versions.
func (r *run) manifest() encoder.Manifest {
	m := r.launcher.Manifest()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.Indexes = slices.Clone(m.Indexes)
	for i, x := range m.Indexes {
		for _, v := range x.Versions {
			known := slices.ContainsFunc(r.versions[x.Name], func(k encoder.IndexVersion) bool { return k.Version == v.Version })
			if !known {
				r.versions[x.Name] = append(r.versions[x.Name], v)
			}
		}
		m.Indexes[i].Versions = slices.Clone(r.versions[x.Name])
	}
	return m
}

// violate notes a violation and ends the run.
func (r *run) violate(kind, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, driver.Violation{Kind: kind, Detail: detail})
	r.print("violation after %s: %s: %s", time.Since(r.began).Round(time.Millisecond), kind, detail)
	r.cancel()
}

func (r *run) schedule() string {
	var text strings.Builder
	for _, f := range r.faults {
		text.WriteString("  " + f.String() + "\n")
	}
	return text.String()
}

func (r *run) print(format string, arguments ...any) {
	r.printing.Lock()
	defer r.printing.Unlock()
	_, _ = fmt.Fprintf(r.settings.Output, format+"\n", arguments...)
}

// report writes the findings beside the output of the processes.
func (r *run) report(violations []driver.Violation) error {
	var summary, details strings.Builder
	for _, v := range violations {
		details.WriteString(v.Kind + ": " + v.Detail + "\n")
	}
	fmt.Fprintf(&summary, "deployment %s, duration %s, seed %d\n\n%s\n%s",
		r.settings.Deployment, r.settings.Duration, r.settings.Seed, details.String(), r.schedule())
	files := map[string]string{
		"violations.txt": summary.String(),
		"timeline.txt":   r.events.text(""),
		"focus.txt":      r.events.text(details.String()),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(r.settings.Directory, name), []byte(text), 0o600); err != nil {
			return fmt.Errorf("soaker: %w", err)
		}
	}
	return &ViolationsError{Seed: r.settings.Seed, Directory: r.settings.Directory, Violations: violations}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
