package bencher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/tabulator"
	"apricotflow/internal/wire/encoder"
)

// comparison measures the first variant, the product's policy, against each of the others.
type comparison struct {
	name     string
	variants []variant
	// measure takes the measurement of one variant in one round.
	measure func(ctx context.Context, f *fixture, round int) (*tabulator.Row, error)
	// reachable tells that a replica of every shard can be reached all the time.
	reachable bool
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
			{name: "lease", change: shareable, flags: slowFlags()},
			{name: "equal", change: shareable, flags: slowFlags(), policy: &encoder.Policy{ColdLimit: &equal}},
		}, restartTarget, true},
		{"owners", []variant{{name: "2", change: owners(2)}, {name: "1", change: owners(1)}}, killInstance, false},
	}
}

func owners(n int) func(*encoder.Manifest) {
	return func(m *encoder.Manifest) { m.Limits.Owners = n }
}

// compare runs all variants side by side and measures them in turn.
func (b *bench) compare(ctx context.Context, c comparison) error {
	var fixtures []*fixture
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
	rounds := make([][]*tabulator.Row, len(c.variants))
	for round := range b.settings.Rounds {
		for i, v := range c.variants {
			row, err := c.measure(ctx, fixtures[i], round)
			if err != nil {
				return fmt.Errorf("variant %s: %w", v.name, err)
			}
			rounds[i] = append(rounds[i], b.label(row, c.name, v.name))
			b.report.Rounds = append(b.report.Rounds, row)
		}
	}
	for i := range rounds {
		b.report.Rows = append(b.report.Rows, tabulator.Merge(rounds[i]))
		if i > 0 {
			b.report.Ratios = append(b.report.Ratios, tabulator.NewRatio(rounds[0], rounds[i]))
		}
	}
	b.guarantees(tabulator.Merge(rounds[0]), c.reachable)
	return nil
}

// steady measures under load without any change.
func steady(ctx context.Context, f *fixture, _ int) (*tabulator.Row, error) {
	f.load(ctx, time.Second/2)
	r := f.load(ctx, f.bench.settings.Duration)
	return f.bench.runRow(r, r.Phase(0, 0)), ctx.Err()
}

// restartTarget kills the busiest target and starts it again, cold, at once.
func restartTarget(ctx context.Context, f *fixture, _ int) (*tabulator.Row, error) {
	target, rate := f.busiest(ctx, f.bench.settings.Duration)
	var samples []driver.Sample
	r, err := f.during(ctx, recoveryLimit, func(time.Time) error {
		if err := errors.Join(f.Kill(target), f.Restart(ctx, target)); err != nil {
			return err
		}
		samples = f.sample(ctx, target)
		return nil
	})
	if err != nil {
		return nil, err
	}
	row := f.bench.runRow(r, r.Phase(0, 0))
	row.RecoveryMs = milliseconds(recoveryLimit)
	if after, ok := driver.Recovery(samples, recoveryShare*rate, recoveryWindow); ok {
		row.RecoveryMs = milliseconds(after)
	}
	return row, f.warm(ctx)
}

// killInstance kills an instance under load, measures from the kill on, and starts the instance again.
func killInstance(ctx context.Context, f *fixture, round int) (*tabulator.Row, error) {
	n := f.Instances()[round%instances]
	r, killed, err := f.kill(ctx, n)
	if err != nil {
		return nil, err
	}
	return f.bench.runRow(r, r.Phase(killed, 0)), errors.Join(f.ReturnInstance(ctx, n), f.warm(ctx))
}
