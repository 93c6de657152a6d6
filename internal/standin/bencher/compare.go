package bencher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// killBefore and killAfter are the times of load before and after an instance is killed.
	killBefore, killAfter = time.Second, 8 * time.Second
)

// comparison measures the first variant, the product's policy, against each of the others.
type comparison struct {
	name     string
	variants []variant
	// measure takes one measurement of a variant in a round.
	measure func(ctx context.Context, b *bench, f *fixture, round int) (*Row, error)
	// bounded tells that the bounds on coverage and extra load apply to the first variant: nothing is killed.
	bounded bool
}

func comparisons() []comparison {
	direct, equal := encoder.PolicyRoutingDirect, encoder.PolicyColdLimitEqual
	choices, random, off := encoder.PolicySelectionTwoChoices, encoder.PolicySelectionRandom, false
	return []comparison{
		{"routing", []variant{{name: "owned"}, {name: "direct", policy: &encoder.Policy{Routing: &direct}}}, steady, true},
		{"hedging", []variant{{name: "on"}, {name: "off", policy: &encoder.Policy{Hedging: &off}}}, steady, true},
		{"selection", []variant{
			{name: "least-loaded"},
			{name: "two-choices", policy: &encoder.Policy{Selection: &choices}},
			{name: "random", policy: &encoder.Policy{Selection: &random}},
		}, steady, true},
		{"cold-limit", []variant{
			{name: "lease", cold: true}, {name: "equal", cold: true, policy: &encoder.Policy{ColdLimit: &equal}},
		}, restartTarget, false},
		{"owners", []variant{{name: "2", owners: 2}, {name: "1", owners: 1}}, killInstance, false},
	}
}

// compare runs all variants side by side and measures them in turn.
func (b *bench) compare(ctx context.Context, c comparison) error {
	rows := make([][]*Row, len(c.variants))
	fixtures := make([]*fixture, 0, len(c.variants))
	defer func() {
		for _, f := range fixtures {
			f.Close()
		}
	}()
	for _, v := range c.variants {
		f, err := b.start(ctx, v)
		if err != nil {
			return fmt.Errorf("variant %s: %w", v.name, err)
		}
		fixtures = append(fixtures, f)
	}
	for round := range b.settings.Rounds {
		for i, v := range c.variants {
			row, err := c.measure(ctx, b, fixtures[i], round)
			if err != nil {
				return fmt.Errorf("variant %s: %w", v.name, err)
			}
			row.Deployment, row.Name, row.Variant = b.deployment, c.name, v.name
			rows[i] = append(rows[i], row)
		}
	}
	b.conclude(c, rows)
	return nil
}

// conclude adds the medians, the ratios and the figures to the report.
func (b *bench) conclude(c comparison, rows [][]*Row) {
	for i, v := range c.variants {
		b.report.Rows = append(b.report.Rows, median(rows[i]))
		if i == 0 {
			continue
		}
		ratio := newRatio(rows[0], rows[i])
		ratio.Deployment, ratio.Name, ratio.Policy, ratio.Baseline = b.deployment, c.name, c.variants[0].name, v.name
		b.report.Ratios = append(b.report.Ratios, ratio)
	}
	first, policy := median(rows[0]), c.variants[0].name
	b.figure(c.name, policy, "cold-overload", float64(first.ColdOverload), "", atMost(0))
	b.figure(c.name, policy, "violations", float64(first.Violations), "", atMost(0))
	if c.bounded {
		b.figure(c.name, policy, "coverage minimum", first.CoverageMinimum, "", atLeastOne())
		b.extraLoad(c.name, policy, first.ExtraLoad)
	}
}

func (b *bench) extraLoad(name, variant string, value float64) {
	plan, err := b.plan()
	if err != nil || value == 0 {
		return
	}
	percent := float64(plan.Manifest.Limits.ExtraLoadPercent)
	b.figure(name, variant, "extra load", value, "", atMost(1+percent/100))
}

// steady measures under load without any change.
func steady(ctx context.Context, b *bench, f *fixture, _ int) (*Row, error) {
	f.load(ctx, warmRun)
	r := f.load(ctx, b.settings.Duration)
	return b.newRow(r, r.phase(0, 0)), ctx.Err()
}

// restartTarget kills the busiest target and starts it again, cold, at once.
func restartTarget(ctx context.Context, b *bench, f *fixture, _ int) (*Row, error) {
	target, rate, err := f.busiest(ctx, b.settings.Duration)
	if err != nil {
		return nil, err
	}
	var restarted time.Time
	var samples []sample
	r, err := f.during(ctx, recoveryLimit, func(time.Time) error {
		if err := errors.Join(f.Kill(target), f.Restart(ctx, target)); err != nil {
			return err
		}
		restarted = time.Now()
		samples = f.sample(ctx, target, restarted.Add(recoveryLimit))
		return nil
	})
	if err != nil {
		return nil, err
	}
	row := b.newRow(r, r.phase(0, 0))
	row.RecoveryMs = milliseconds(recoveryLimit)
	if after, ok := recovery(samples, rate, recoveryShare, recoveryWindow); ok {
		row.RecoveryMs = max(1, milliseconds(after))
	}
	return row, f.warm(ctx)
}

// killInstance kills an instance under load and starts it again after the load; it measures from the kill on.
func killInstance(ctx context.Context, b *bench, f *fixture, round int) (*Row, error) {
	n := f.Instances()[round%instances]
	k, err := f.kill(ctx, killBefore, n)
	if err != nil {
		return nil, err
	}
	row := b.newRow(k.recording, k.phase(k.killed.Sub(k.began), 0))
	return row, errors.Join(f.ReturnInstance(ctx, n), f.warm(ctx))
}

// killing is a run in which an instance is killed.
type killing struct {
	recording
	killed time.Time
}

func (f *fixture) kill(ctx context.Context, before time.Duration, n launcher.Instance) (killing, error) {
	var k killing
	r, err := f.during(ctx, before+killAfter, func(began time.Time) error {
		if err := sleep(ctx, began, before); err != nil {
			return err
		}
		k.killed = time.Now()
		if err := f.Kill(n.Name); err != nil {
			return err
		}
		if err := sleep(ctx, k.killed, listDelay); err != nil {
			return err
		}
		return f.ForgetInstance(ctx, n.Name)
	})
	k.recording = r
	return k, err
}
