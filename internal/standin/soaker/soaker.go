// Package soaker runs a deployment in native mode under continuous load, applies random faults and checks that no
// guarantee is broken. The standin command runs it. Package launcher controls the processes, and package driver sends
// the load and verifies the answers; package rehearser does the same for instances that relay requests.
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
	// scaleDivisor divides the size of a deployment, which leaves 14 targets.
	scaleDivisor = 10
	// instanceCount is the number of instances at the start.
	instanceCount = 4
	// readyTimeout is the maximum time until all instances are ready.
	readyTimeout = 30 * time.Second
	// resendPercent is the percentage of answered queries with a ticket that are sent again.
	resendPercent = 30
	// loadDuration is the duration of each load during the faults, recoveryLoadDuration that of each load while waiting
	// for recovery.
	loadDuration, recoveryLoadDuration = 5 * time.Second, 2 * time.Second
	// recoveryLimit is the maximum time that the coverage may stay below 1.0 after the last fault.
	recoveryLimit = 20 * time.Second
	// warmUpTime and warmUpAnswers are the time and the number of answers that a target needs to become warm.
	warmUpTime, warmUpAnswers = time.Second, 20
)

// Settings configures a soak.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Deployment is the name of the deployment, as package deployer knows it.
	Deployment string
	// Duration is the length of the schedule of faults.
	Duration time.Duration
	// Seed determines the schedule of the faults. The load also depends on the time at which it is sent.
	Seed uint64
	// Rate is in queries per second.
	Rate float64
	// Directory receives the output of all processes, and a report if a guarantee is broken.
	Directory string
	// TargetFlags are additional flags for all targets.
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
	return fmt.Sprintf("soaker: seed %d: %d violations, report in %s", e.Seed, len(e.Violations), e.Directory)
}

// soakRun is the state of one soak.
type soakRun struct {
	settings   Settings
	launcher   *launcher.Launcher
	deployment *deploymentState
	faults     []Fault
	// soakStart is the start of the soak, faultsStart that of the schedule of faults.
	soakStart, faultsStart time.Time
	events                 *eventLog
	// cancel ends the faults and the load after a violation.
	cancel context.CancelFunc
	// publishMu serializes the publication of manifests.
	publishMu sync.Mutex

	printMu sync.Mutex

	mu         sync.Mutex
	violations []driver.Violation
	// publishedVersions holds all versions of each index that were ever published.
	publishedVersions map[string][]encoder.IndexVersion
	observations      map[string]observation
}

// Run applies the faults that the seed gives and returns a *ViolationsError if a guarantee was broken.
func Run(parent context.Context, s Settings) error {
	plan, err := deployer.New(s.Deployment, scaleDivisor, launcher.FreeAddress)
	if err != nil {
		return err
	}
	if err := errors.Join(os.RemoveAll(s.Directory), os.MkdirAll(s.Directory, 0o755)); err != nil {
		return fmt.Errorf("soaker: prepare directory: %w", err)
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r := &soakRun{
		settings: s, cancel: cancel, events: newEventLog(), faults: Schedule(s.Seed, plan, instanceCount, s.Duration),
		soakStart: time.Now(), publishedVersions: make(map[string][]encoder.IndexVersion), observations: make(map[string]observation),
	}
	r.printf("%s for %s, seed %d, schedule:\n%s", s.Deployment, s.Duration, s.Seed, r.formatSchedule())
	// The launcher must outlive ctx, so that the report contains the events of all instances.
	r.launcher, err = launcher.Start(context.WithoutCancel(ctx), launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Directory: s.Directory, Plan: plan, Instances: instanceCount, Links: true,
		TargetFlags: func(encoder.Target) []string {
			return append([]string{
				"--latency-ms", fmt.Sprint(plan.DomainLatency.Seconds() * 1000),
				"--service-ms", "1", "--straggler-percent", "1", "--straggler-ms", "20",
				"--cold-ms", fmt.Sprint(warmUpTime.Milliseconds()), "--cold-answers", fmt.Sprint(warmUpAnswers),
			}, s.TargetFlags...)
		},
		ChangeSettings: adjustSettings,
	})
	if err != nil {
		return err
	}
	defer r.launcher.Close()
	if err := r.runSoak(ctx); err != nil {
		return err
	}
	// A cancelled soak has not shown that there is no violation.
	return parent.Err()
}

// adjustSettings makes an instance exit when an invariant is violated, and shortens the time for which a stopping
// instance waits for the load balancer to 500 ms.
func adjustSettings(s *encoder.Settings) {
	strict, balancer := true, 500
	s.StrictInvariants, s.BalancerMs = &strict, &balancer
}

func (r *soakRun) runSoak(ctx context.Context) error {
	domains := make(map[string]string)
	for _, service := range r.launcher.Manifest().Services {
		for _, t := range service.Targets {
			domains[t.Name] = t.FailureDomain
		}
	}
	r.deployment = newDeploymentState(domains, r.manifestWithAllVersions().Generation)
	if err := r.launcher.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	observerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var observer sync.WaitGroup
	observer.Go(func() { r.observe(observerCtx) })
	r.awaitRecovery(ctx, "start")
	err := r.runFaults(ctx)
	if ctx.Err() == nil && err == nil {
		r.awaitRecovery(ctx, "end")
	}
	stop()
	observer.Wait()
	r.mu.Lock()
	violations := slices.Clone(r.violations)
	r.mu.Unlock()
	if len(violations) == 0 {
		return err
	}
	return errors.Join(r.writeReport(violations), err)
}

// runFaults applies the faults under load until all have ended.
func (r *soakRun) runFaults(ctx context.Context) error {
	r.faultsStart = time.Now()
	var applying sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for _, f := range r.faults {
		applying.Go(func() {
			if err := r.runFault(ctx, f); err != nil {
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
		r.load(ctx, loadDuration)
		select {
		case <-done:
			running = false
		default:
		}
	}
	<-done
	return errors.Join(failures...)
}

// runFault applies a fault at its time and reverts it at its end, or earlier if ctx ends.
func (r *soakRun) runFault(ctx context.Context, f Fault) error {
	if !sleep(ctx, time.Until(r.faultsStart.Add(f.From))) {
		return nil
	}
	r.events.addFault("fault-started", f)
	// The end of the soak must not interrupt the start or the end of a fault.
	detached := context.WithoutCancel(ctx)
	revert, err := r.applyFault(detached, f)
	if revert == nil {
		return err
	}
	sleep(ctx, time.Until(r.faultsStart.Add(f.Until)))
	err = errors.Join(err, revert(detached))
	r.events.addFault("fault-ended", f)
	return err
}

// load sends queries for the duration, verifies the answers and returns the result.
func (r *soakRun) load(ctx context.Context, d time.Duration) driver.Result {
	result := driver.New(driver.Settings{
		Manifest: r.manifestWithAllVersions(), NewestManifest: r.manifestWithAllVersions, CallerAddresses: r.launcher.CallerAddresses(), TargetControlAddresses: r.launcher.TargetControlAddresses(),
		Rate: r.settings.Rate, Duration: d, Seed: r.settings.Seed + uint64(time.Since(r.soakStart)), ResendPercent: resendPercent,
	}).Run(ctx)
	r.printf("%8s  %.0f answers/s, p99 %.0f ms, coverage %.4f, minimum %.2f, outcomes %v, codes %v, violations %d",
		time.Since(r.soakStart).Round(time.Millisecond), result.Rate, result.P99Ms, result.CoverageMean, result.CoverageMinimum,
		result.Outcomes, result.Codes, result.ViolationCount)
	for _, v := range result.Violations {
		r.recordViolation(v.Kind, v.Detail)
	}
	return result
}

// awaitRecovery waits until every query has a complete answer, and records a violation if that takes too long.
func (r *soakRun) awaitRecovery(ctx context.Context, when string) {
	began := time.Now()
	for ctx.Err() == nil {
		late := time.Since(began) > recoveryLimit
		result := r.load(ctx, recoveryLoadDuration)
		if result.Outcomes[encoder.QueryOutcomeComplete] == result.Sent {
			return
		}
		if late && ctx.Err() == nil {
			r.recordViolation("not-recovered", fmt.Sprintf("%s: coverage %.4f, outcomes %v, codes %v, still incomplete after %s",
				when, result.CoverageMean, result.Outcomes, result.Codes, recoveryLimit))
			return
		}
	}
}

// manifestWithAllVersions returns the newest manifest extended by every version of each index that was ever published,
// because a partitioned instance answers from old versions. It remembers the versions of the newest manifest, so it
// must be called after each publication.
func (r *soakRun) manifestWithAllVersions() encoder.Manifest {
	m := r.launcher.Manifest()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.Indexes = slices.Clone(m.Indexes)
	for i, x := range m.Indexes {
		for _, v := range x.Versions {
			known := slices.ContainsFunc(r.publishedVersions[x.Name], func(k encoder.IndexVersion) bool { return k.Version == v.Version })
			if !known {
				r.publishedVersions[x.Name] = append(r.publishedVersions[x.Name], v)
			}
		}
		m.Indexes[i].Versions = slices.Clone(r.publishedVersions[x.Name])
	}
	return m
}

// recordViolation adds a violation and ends the soak.
func (r *soakRun) recordViolation(kind, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, driver.Violation{Kind: kind, Detail: detail})
	r.printf("violation after %s: %s: %s", time.Since(r.soakStart).Round(time.Millisecond), kind, detail)
	r.cancel()
}

func (r *soakRun) formatSchedule() string {
	var text strings.Builder
	for _, f := range r.faults {
		text.WriteString("  " + f.String() + "\n")
	}
	return text.String()
}

func (r *soakRun) printf(format string, arguments ...any) {
	r.printMu.Lock()
	defer r.printMu.Unlock()
	_, _ = fmt.Fprintf(r.settings.Output, format+"\n", arguments...)
}

// writeReport writes the violations and the events to the directory that holds the output of the processes. The file
// focus.txt holds only the faults and the events whose subject or query a violation mentions. If all files are written,
// it returns the violations as a *ViolationsError.
func (r *soakRun) writeReport(violations []driver.Violation) error {
	var summary, details strings.Builder
	for _, v := range violations {
		details.WriteString(v.Kind + ": " + v.Detail + "\n")
	}
	fmt.Fprintf(&summary, "deployment %s, duration %s, seed %d\n\n%s\n%s",
		r.settings.Deployment, r.settings.Duration, r.settings.Seed, details.String(), r.formatSchedule())
	files := map[string]string{
		"violations.txt": summary.String(),
		"timeline.txt":   r.events.format(""),
		"focus.txt":      r.events.format(details.String()),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(r.settings.Directory, name), []byte(text), 0o600); err != nil {
			return fmt.Errorf("soaker: write report: %w", err)
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
