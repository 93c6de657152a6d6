package bencher

import (
	"context"
	"errors"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// closedTime is the time for which the failure domain is closed, reopenedLoadTime the time of load after it is open
	// again.
	closedTime, reopenedLoadTime = 5 * time.Second, 6 * time.Second
	// lastStartLimit is the maximum time after the closure at which a sub-query may start in the failure domain.
	lastStartLimit = 3 * time.Second
)

// domainClosure records the closure of a failure domain.
type domainClosure struct {
	// closedAt and reopenedAt are the times of the closure and of the reopening, counted from the start of the load.
	closedAt, reopenedAt time.Duration
	// lastStart is the time from the closure to the last start of a sub-query on a target of the failure domain. It is
	// negative if none started after the closure.
	lastStart time.Duration
	// executedAtReopen is the number of sub-queries that each target of the failure domain had started to run when it
	// was reopened.
	executedAtReopen map[string]int
}

// runDomainClosure runs the scenario "pull": it closes a failure domain under load and reopens it with cold targets.
func runDomainClosure(ctx context.Context, b *benchmark) error {
	f, err := b.startFixture(ctx, variant{targetFlags: []string{"--cold-answers", warmUpAnswers}})
	if err != nil {
		return err
	}
	defer f.Close()
	var c domainClosure
	r, err := f.loadDuring(ctx, b.settings.Duration+closedTime+reopenedLoadTime, func(began time.Time) error {
		if err := sleepUntil(ctx, began, b.settings.Duration); err != nil {
			return err
		}
		return f.closeAndReopenDomain(ctx, began, &c)
	})
	if err != nil {
		return err
	}
	b.addPhase("pull", "before", r.Phase(0, c.closedAt))
	b.addPhase("pull", "during", r.Phase(c.closedAt, c.reopenedAt))
	b.addPhase("pull", "after", r.Phase(c.reopenedAt, 0))
	b.addRun("pull", r)
	b.addFigure("pull", "during", "last new work, s", c.lastStart.Seconds(), atMost(lastStartLimit.Seconds()))
	statistics, executedSince := f.Statistics(ctx), 0
	for name, executed := range c.executedAtReopen {
		executedSince += statistics[name].Executed - executed
	}
	b.addFigure("pull", "after", "sub-queries on the returned targets", float64(executedSince), nil)
	return nil
}

// closeAndReopenDomain closes a failure domain for closedTime, makes its targets cold and reopens it.
func (f *fixture) closeAndReopenDomain(ctx context.Context, began time.Time, c *domainClosure) error {
	domain := f.Manifest().FailureDomains[0].Name
	closedAt := time.Now()
	if err := f.SetDomainState(ctx, domain, encoder.FailureDomainStateClosed); err != nil {
		return err
	}
	if err := sleepUntil(ctx, closedAt, closedTime); err != nil {
		return err
	}
	cold := true
	var failures []error
	// The load started about settings.Duration before the closure; lastStart is not earlier than that.
	c.lastStart, c.executedAtReopen = -f.benchmark.settings.Duration, make(map[string]int)
	for _, name := range deployer.TargetsInDomain(f.Manifest(), domain) {
		s, err := f.ControlTarget(ctx, name, responder.Control{Cold: &cold})
		failures = append(failures, err)
		c.executedAtReopen[name] = s.Executed
		c.lastStart = max(c.lastStart, time.Since(closedAt)-s.SinceLastExecute())
	}
	c.closedAt, c.reopenedAt = closedAt.Sub(began), time.Since(began)
	return errors.Join(append(failures, f.SetDomainState(ctx, domain, encoder.FailureDomainStateOpen))...)
}
