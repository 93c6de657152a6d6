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

// comparison measures the first variant, which has the product's default policy, against each of the others.
type comparison struct {
	name     string
	variants []variant
	// measure measures one variant in one round.
	measure func(ctx context.Context, f *fixture, round int) (*tabulator.Row, error)
	// shardsReachable reports whether every shard has a reachable replica all the time.
	shardsReachable bool
}

func comparisons() []comparison {
	direct, equal := encoder.PolicyRoutingDirect, encoder.PolicyColdLimitEqual
	choices, random, off := encoder.PolicySelectionTwoChoices, encoder.PolicySelectionRandom, false
	return []comparison{
		{"routing", []variant{{name: "owned"}, {name: "direct", policy: &encoder.Policy{Routing: &direct}}}, measureSteadyLoad, true},
		{"hedging", []variant{{name: "on"}, {name: "off", policy: &encoder.Policy{Hedging: &off}}}, measureSteadyLoad, true},
		{"selection", []variant{
			{name: "least-loaded"},
			{name: "two-choices", policy: &encoder.Policy{Selection: &choices}},
			{name: "random", policy: &encoder.Policy{Selection: &random}},
		}, measureSteadyLoad, true},
		{"cold-limit", []variant{
			{name: "lease", changeManifest: setShareableColdLimits, targetFlags: slowTargetFlags()},
			{name: "equal", changeManifest: setShareableColdLimits, targetFlags: slowTargetFlags(), policy: &encoder.Policy{ColdLimit: &equal}},
		}, measureTargetRestart, true},
		{"owners", []variant{{name: "2", changeManifest: withOwners(2)}, {name: "1", changeManifest: withOwners(1)}}, measureInstanceKill, false},
	}
}

func withOwners(n int) func(*encoder.Manifest) {
	return func(m *encoder.Manifest) { m.Limits.Owners = n }
}

// runComparison starts a deployment for each variant, keeps all of them running and measures the variants in turn.
func (b *benchmark) runComparison(ctx context.Context, c comparison) error {
	var fixtures []*fixture
	defer func() {
		for _, f := range fixtures {
			f.Close()
		}
	}()
	for _, v := range c.variants {
		f, err := b.startFixture(ctx, v)
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
			rounds[i] = append(rounds[i], b.labelRow(row, c.name, v.name))
			b.report.Rounds = append(b.report.Rounds, row)
		}
	}
	for i := range rounds {
		b.report.Rows = append(b.report.Rows, tabulator.Merge(rounds[i]))
		if i > 0 {
			b.report.Ratios = append(b.report.Ratios, tabulator.NewRatio(rounds[0], rounds[i]))
		}
	}
	b.addGuarantees(tabulator.Merge(rounds[0]), c.shardsReachable)
	return nil
}

// measureSteadyLoad measures under constant load without any change.
func measureSteadyLoad(ctx context.Context, f *fixture, _ int) (*tabulator.Row, error) {
	f.load(ctx, time.Second/2)
	r := f.load(ctx, f.benchmark.settings.Duration)
	return f.benchmark.newRunRow(r, r.Phase(0, 0)), ctx.Err()
}

// measureTargetRestart kills the target with the highest rate, restarts it cold at once and measures the time until it
// has recovered, as recoveryShare and recoveryWindow define.
func measureTargetRestart(ctx context.Context, f *fixture, _ int) (*tabulator.Row, error) {
	target, rate := f.busiestTarget(ctx, f.benchmark.settings.Duration)
	var samples []driver.ExecutedSample
	r, err := f.loadDuring(ctx, recoveryTimeout, func(time.Time) error {
		if err := errors.Join(f.Kill(target), f.Restart(ctx, target)); err != nil {
			return err
		}
		samples = f.sampleStatistics(ctx, target)
		return nil
	})
	if err != nil {
		return nil, err
	}
	row := f.benchmark.newRunRow(r, r.Phase(0, 0))
	row.RecoveryMs = milliseconds(recoveryTimeout)
	if after, ok := driver.FindRecovery(samples, recoveryShare*rate, recoveryWindow); ok {
		row.RecoveryMs = milliseconds(after)
	}
	return row, f.awaitComplete(ctx)
}

// measureInstanceKill kills an instance under load, measures from then on, and starts the instance again.
func measureInstanceKill(ctx context.Context, f *fixture, round int) (*tabulator.Row, error) {
	n := f.Instances()[round%instanceCount]
	r, killed, err := f.killUnderLoad(ctx, n)
	if err != nil {
		return nil, err
	}
	return f.benchmark.newRunRow(r, r.Phase(killed, 0)), errors.Join(f.StartInstance(ctx, n), f.awaitComplete(ctx))
}
