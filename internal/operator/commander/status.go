package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/collector"
	"apricotflow/internal/operator/recorder"
)

// maxRows bounds each part of the screen.
const maxRows = 12

// shownCounters are parts of the names of the counters that describe coverage, extra load and refused work.
var shownCounters = []string{"coverage", "partial", "complete", "restarted", "extra", "hedge", "retr", "budget", "sub-quer", "shed", "refused", "not-run", "unknown", "violat"}

// Counters from which the share of complete answers, the coverage and the extra load are computed. Sub-queries that
// were refused before they reached a target are no extra load, so that sub-queries-sent is not used.
const (
	counterComplete       = "queries-complete"
	counterPartial        = "queries-partial"
	counterNotRun         = "queries-not-run"
	counterUnknown        = "queries-unknown"
	counterShards         = "coverage-shards"
	counterShardsAnswered = "coverage-shards-answered"
	counterNeeded         = "sub-queries-needed"
	counterExtra          = "hedger-extra-sub-queries"
)

func newStatusCommand(now func() time.Time) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of a deployment on one screen",
		Description: `Asks all instances for their status and shows whether the deployment is healthy and, if not, why; which
configuration is in force where and for how long; the failure domains with the states of their targets; targets
that are down (or down for some of their owners), closed (their failure domain is out of service), leaving, draining or cold; limits that are reached;
and the counters of coverage and extra load, added up over the instances.

Unhealthy means that an instance does not answer, is not ready or cannot reach another one, that instances use
different manifests or refused the latest one, that a target is down, that a cold target has no owner with a lease, that the platform has
answered no instance for a minute, or that an invariant was violated. The exit code is then 4. An instance that is
listed as leaving may be gone. --json prints everything that the instances reported.

Examples:
  apricotflow status --platform 127.0.0.1:7900 --period 5s
  apricotflow status --instances 127.0.0.1:7201,127.0.0.1:7202 --json`,
		Flags: append(instanceFlags(),
			&cli.DurationFlag{Name: "period", Usage: "count coverage and extra load over this `DURATION` instead of since the start"},
			jsonFlag("print the state as one JSON object")),
		Action: withoutArguments(func(ctx context.Context, command *cli.Command) error {
			c, instances, err := findInstances(ctx, command)
			if err != nil {
				return err
			}
			period := command.Duration("period")
			if period < 0 {
				return usageError("--period must not be below 0")
			}
			h := inspect(ctx, c, instances, period)
			if command.Bool("json") {
				printJSON(command.Root().Writer, h)
			} else {
				newScreen(command.Root().Writer).show(h, now())
			}
			if !h.Healthy {
				return exit(ExitUnhealthy, "")
			}
			return nil
		}),
	}
}

// inspect asks the instances, twice if there is a period.
func inspect(ctx context.Context, c *collector.Collector, instances []collector.Instance, period time.Duration) health {
	var earlier collector.Statuses
	if period > 0 {
		earlier = c.Status(ctx, instances)
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	statuses := c.Status(ctx, instances)
	manifests := c.Events(ctx, instances, collector.Filter{
		Kinds: []string{string(recorder.KindManifestApplied), string(recorder.KindManifestRefused)},
	})
	h := assess(statuses, manifests.Events)
	if period > 0 {
		h.PeriodMs, h.Recent = int(period.Milliseconds()), since(earlier.Replies, statuses.Replies)
	}
	return h
}

// screen renders the health as text.
type screen struct {
	w io.Writer
}

func newScreen(w io.Writer) *screen {
	return &screen{w: w}
}

func (s *screen) show(h health, now time.Time) {
	s.summary(h, now)
	s.configurations(h)
	s.instances(h)
	s.domains(h)
	s.targets(h)
	s.limits(h)
	s.counters(h)
}

func (s *screen) summary(h health, now time.Time) {
	state := "HEALTHY"
	if !h.Healthy {
		state = "UNHEALTHY"
	}
	s.line("%s  %s  %d of %s answered", state, now.UTC().Format(time.RFC3339), len(h.Statuses), count(len(h.Statuses)+len(h.Unanswered), "instance"))
	rows(s, h.Reasons, func(reason string) { s.line("  - %s", reason) })
}

func (s *screen) configurations(h health) {
	s.line("\nCONFIGURATION  platform last answered %s ago", age(h.PlatformAgeMs))
	rows(s, h.Configurations, func(c configuration) {
		if c.Generation == 0 {
			s.line("  none on %s", strings.Join(c.Instances, ", "))
			return
		}
		s.line("  generation %d, digest %s, for up to %s, on %s", c.Generation, printable(c.Digest), age(c.OldestMs), names(c.Instances))
	})
}

func (s *screen) instances(h health) {
	s.line("\nINSTANCES")
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  name\tfailure domain\tready\tgeneration\tin force for\tversion")
	for _, r := range h.Statuses[:min(len(h.Statuses), maxRows)] {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%t\t%d\t%s\t%s\n", printable(r.Instance), printable(r.FailureDomain), r.Ready, r.Generation, age(r.ConfigurationAgeMs), printable(r.Version))
	}
	_ = table.Flush()
	s.more(len(h.Statuses))
}

func (s *screen) domains(h health) {
	s.line("\nFAILURE DOMAINS")
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  name\tinstances\ttargets\tin flight")
	for _, d := range h.FailureDomains[:min(len(h.FailureDomains), maxRows)] {
		_, _ = fmt.Fprintf(table, "  %s\t%d\t%s\t%d\n", printable(d.FailureDomain), d.Instances, statesText(d.States), d.InFlight)
	}
	_ = table.Flush()
	s.more(len(h.FailureDomains))
}

// statesText lists how many targets are in each state.
func statesText(states map[string]int) string {
	texts := make([]string, 0, len(states))
	for _, state := range slices.Sorted(maps.Keys(states)) {
		texts = append(texts, fmt.Sprintf("%d %s", states[state], orDash(state)))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}

func (s *screen) targets(h health) {
	states := make(map[string]int)
	for _, t := range h.Targets {
		states[t.State]++
	}
	s.line("\nTARGETS  %d owned: %s", len(h.Targets), statesText(states))
	affected := slices.DeleteFunc(slices.Clone(h.Targets), func(t targetHealth) bool { return severity(t.State) == len(targetSeverity) })
	rows(s, affected, func(t targetHealth) {
		s.line("  %-11s  %s in %s, limit %d, owned by %s", t.State, printable(t.Target), printable(t.FailureDomain), t.Limit, names(t.Owners))
	})
}

func (s *screen) limits(h health) {
	reached := slices.DeleteFunc(slices.Clone(h.Targets), func(t targetHealth) bool { return len(t.LimitReachedAt) == 0 })
	slices.SortStableFunc(reached, func(a, b targetHealth) int { return b.Queued - a.Queued })
	s.line("\nLIMITS REACHED  %s", count(len(reached), "target"))
	rows(s, reached, func(t targetHealth) {
		s.line("  %s: %d of %d in flight, %d queued, %d connections, reached at %s", printable(t.Target), t.InFlight, t.Limit, t.Queued, t.Connections, names(t.LimitReachedAt))
	})
}

func (s *screen) counters(h health) {
	period := "since each instance started"
	if h.PeriodMs > 0 {
		period = "in " + age(h.PeriodMs)
	}
	s.line("\nCOVERAGE AND EXTRA LOAD  %s", period)
	complete, partial, notRun, unknown := h.Recent[counterComplete], h.Recent[counterPartial], h.Recent[counterNotRun], h.Recent[counterUnknown]
	if queries := complete + partial + notRun + unknown; queries > 0 {
		s.line("  complete answers: %.3f %% of %d queries; %d partial, %d not-run, %d unknown", share(complete, queries), queries, partial, notRun, unknown)
	}
	if shards := h.Recent[counterShards]; shards > 0 {
		s.line("  coverage: %.3f %% of %d shards", share(h.Recent[counterShardsAnswered], shards), shards)
	}
	if needed := h.Recent[counterNeeded]; needed > 0 {
		s.line("  extra load: %.4f sub-queries that may have reached a target per sub-query needed", 1+float64(h.Recent[counterExtra])/float64(needed))
	}
	var shown []string
	for _, name := range slices.Sorted(maps.Keys(h.Recent)) {
		if slices.ContainsFunc(shownCounters, func(part string) bool { return strings.Contains(name, part) }) {
			shown = append(shown, name)
		}
	}
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	for _, name := range shown {
		_, _ = fmt.Fprintf(table, "  %s\t%d\n", printable(name), h.Recent[name])
	}
	_ = table.Flush()
}

// share returns the part in percent of a whole above 0.
func share(part, whole int) float64 {
	return 100 * float64(part) / float64(whole)
}

func (s *screen) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.w, format+"\n", arguments...)
}

// more tells how many rows were left out.
func (s *screen) more(total int) {
	if total > maxRows {
		s.line("  and %d more; --json shows all", total-maxRows)
	}
}

// rows shows the first rows and how many were left out.
func rows[T any](s *screen, items []T, show func(T)) {
	for _, item := range items[:min(len(items), maxRows)] {
		show(item)
	}
	s.more(len(items))
}

// maxNames bounds a list of names on one line.
const maxNames = 8

func names(list []string) string {
	text := printable(strings.Join(list[:min(len(list), maxNames)], ", "))
	if len(list) > maxNames {
		text += fmt.Sprintf(" and %d more", len(list)-maxNames)
	}
	return text
}
