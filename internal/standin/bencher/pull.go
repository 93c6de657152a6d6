package bencher

import (
	"context"
	"errors"
	"time"

	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// pullTime is how long the failure domain is out of service, returnTime the time of load after its return.
	pullTime, returnTime = 5 * time.Second, 6 * time.Second
	// newWorkLimit is the time in which the last new work reaches a failure domain that was taken out of service.
	newWorkLimit = 3 * time.Second
)

// pull is what happened to the failure domain.
type pull struct {
	pulled, returned time.Time
	// lastWork is the time from the pull until the last start of a sub-query on a target of the failure domain.
	lastWork time.Duration
	overload int
}

// runPull takes a failure domain out of service under load and returns it with cold targets.
func runPull(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{cold: true})
	if err != nil {
		return err
	}
	defer f.Close()
	before := b.settings.Duration
	var p pull
	r, err := f.during(ctx, before+pullTime+returnTime, func(began time.Time) error {
		if err := sleep(ctx, began, before); err != nil {
			return err
		}
		return f.pull(ctx, &p)
	})
	if err != nil {
		return err
	}
	for _, t := range f.statistics(ctx) {
		p.overload += t.ColdOverload
	}
	out, back := p.pulled.Sub(r.began), p.returned.Sub(r.began)
	for _, phase := range []struct {
		name string
		Phase
	}{{"before", r.phase(0, out)}, {"during", r.phase(out, back-out)}, {"after", r.phase(back, 0)}} {
		b.row("pull", phase.name, r, phase.Phase)
		b.figure("pull", phase.name, "coverage minimum", phase.CoverageMinimum, "", atLeastOne())
		b.figure("pull", phase.name, "not run", float64(phase.NotRun), "", noBound())
	}
	b.figure("pull", "during", "last new work", p.lastWork.Seconds(), "s", atMost(newWorkLimit.Seconds()))
	b.figure("pull", "after", "cold-overload", float64(p.overload), "", atMost(0))
	b.figure("pull", "all", "violations", float64(r.result.ViolationCount), "", atMost(0))
	b.extraLoad("pull", "all", r.result.ExtraLoad)
	return nil
}

func (f *fixture) pull(ctx context.Context, p *pull) error {
	domain := f.Manifest().FailureDomains[0].Name
	p.pulled = time.Now()
	if err := f.WithDomain(ctx, domain, encoder.FailureDomainStateClosed); err != nil {
		return err
	}
	if err := sleep(ctx, p.pulled, pullTime); err != nil {
		return err
	}
	cold := true
	var failures []error
	for _, name := range f.domainTargets(domain) {
		s, err := f.ControlTarget(ctx, name, responder.Control{Cold: &cold})
		failures = append(failures, err)
		p.lastWork = max(p.lastWork, lastWork(s, time.Now(), p.pulled))
	}
	p.returned = time.Now()
	return errors.Join(append(failures, f.WithDomain(ctx, domain, encoder.FailureDomainStateOpen))...)
}

// lastWork returns the time from from until the last start of a sub-query; negative when there was none since.
func lastWork(s responder.Statistics, read, from time.Time) time.Duration {
	if s.LastExecuteMs < 0 {
		return -1
	}
	age := time.Duration(s.UptimeMs-s.LastExecuteMs) * time.Millisecond
	return read.Add(-age).Sub(from)
}
