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
	// pullTime is how long the failure domain is out of service, returnTime the time of load after its return.
	pullTime, returnTime = 5 * time.Second, 6 * time.Second
	// newWorkLimit is the time in which the last new work reaches a failure domain that was taken out of service.
	newWorkLimit = 3 * time.Second
)

// pull is what happened to the failure domain; times count from the start of the load.
type pull struct {
	pulled, returned time.Duration
	// lastWork is the time from the pull until the last start of a sub-query on a target of the failure domain;
	// negative before the pull.
	lastWork time.Duration
	// executed is the number of sub-queries that its targets had run when it returned.
	executed map[string]int
}

// runPull takes a failure domain out of service under load and returns it with cold targets.
func runPull(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{flags: []string{"--cold-answers", coldAnswers}})
	if err != nil {
		return err
	}
	defer f.Close()
	var p pull
	r, err := f.during(ctx, b.settings.Duration+pullTime+returnTime, func(began time.Time) error {
		if err := sleep(ctx, began, b.settings.Duration); err != nil {
			return err
		}
		return f.pull(ctx, began, &p)
	})
	if err != nil {
		return err
	}
	b.phase("pull", "before", r.Phase(0, p.pulled))
	b.phase("pull", "during", r.Phase(p.pulled, p.returned))
	b.phase("pull", "after", r.Phase(p.returned, 0))
	b.whole("pull", r)
	b.figure("pull", "during", "last new work, s", p.lastWork.Seconds(), atMost(newWorkLimit.Seconds()))
	statistics, served := f.Statistics(ctx), 0
	for name, executed := range p.executed {
		served += statistics[name].Executed - executed
	}
	b.figure("pull", "after", "sub-queries on the returned targets", float64(served), nil)
	return nil
}

func (f *fixture) pull(ctx context.Context, began time.Time, p *pull) error {
	domain := f.Manifest().FailureDomains[0].Name
	pulled := time.Now()
	if err := f.WithDomain(ctx, domain, encoder.FailureDomainStateClosed); err != nil {
		return err
	}
	if err := sleep(ctx, pulled, pullTime); err != nil {
		return err
	}
	cold := true
	var failures []error
	p.lastWork, p.executed = -f.bench.settings.Duration, make(map[string]int)
	for _, name := range deployer.TargetsIn(f.Manifest(), domain) {
		s, err := f.ControlTarget(ctx, name, responder.Control{Cold: &cold})
		failures = append(failures, err)
		p.executed[name] = s.Executed
		p.lastWork = max(p.lastWork, time.Since(pulled)-s.SinceExecute())
	}
	p.pulled, p.returned = pulled.Sub(began), time.Since(began)
	return errors.Join(append(failures, f.WithDomain(ctx, domain, encoder.FailureDomainStateOpen))...)
}
