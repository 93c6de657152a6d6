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

// maxSectionRows limits the rows in each section of the output.
const maxSectionRows = 12

// shownCounterParts holds parts of counter names. Counters whose name contains one of them are printed: they describe
// coverage, extra load and refused work. "retr" stands for retries and retried, "sub-quer" for sub-query and
// sub-queries, "violat" for violations.
var shownCounterParts = []string{"coverage", "partial", "complete", "restarted", "extra", "hedge", "retr", "budget", "sub-quer", "shed", "refused", "not-run", "unknown", "violat"}

// Counters from which the share of complete answers, the coverage and the extra load are computed. The extra load is
// not computed from sub-queries-sent, which includes sub-queries refused before they reached a target: those are no
// extra load.
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
		Description: `Asks all instances for their status and shows
- whether the deployment is healthy and, if not, why;
- which configuration is in force on which instances, and for how long;
- the failure domains with the states of their targets;
- the targets that are down, partly-down (down for some of their owners), closed (their failure domain is out of
  service), leaving, draining or cold;
- the limits that are reached;
- the counters of coverage and extra load, summed over the instances.

A deployment is unhealthy, and the exit code is 4, if
- an instance does not answer, is not ready or cannot be reached by another one, unless it is listed as leaving;
- instances use different manifests or refused the latest one;
- a target is down or partly-down;
- a cold target has no owner with a lease;
- the platform has answered no instance for a minute;
- an invariant was violated.

--json prints everything that the instances reported.

Examples:
  apricotflow status --platform 127.0.0.1:7900 --period 5s
  apricotflow status --instances 127.0.0.1:7201,127.0.0.1:7202 --json`,
		Flags: append(instanceFlags(),
			&cli.DurationFlag{Name: "period", Usage: "count coverage and extra load over this `DURATION`, such as 5s, instead of since the start of each instance"},
			jsonFlag("print the state as one JSON object")),
		Action: withoutArguments(func(ctx context.Context, command *cli.Command) error {
			c, instances, err := findInstances(ctx, command)
			if err != nil {
				return err
			}
			period := command.Duration("period")
			if period < 0 {
				return usageError("--period must not be negative")
			}
			h := collectHealth(ctx, c, instances, period)
			if command.Bool("json") {
				printJSON(command.Root().Writer, h)
			} else {
				newStatusPrinter(command.Root().Writer).print(h, now())
			}
			if !h.Healthy {
				return newExitError(ExitUnhealthy, "")
			}
			return nil
		}),
	}
}

// collectHealth asks the instances for their status and derives the health. If there is a period, it asks twice, a
// period apart, to compute the counters of the period.
func collectHealth(ctx context.Context, c *collector.Collector, instances []collector.Instance, period time.Duration) health {
	var earlier collector.Statuses
	if period > 0 {
		earlier = c.FetchStatuses(ctx, instances)
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	statuses := c.FetchStatuses(ctx, instances)
	manifestEvents := c.FetchEvents(ctx, instances, collector.Filter{
		Kinds: []string{string(recorder.KindManifestApplied), string(recorder.KindManifestRefused)},
	})
	h := newHealth(statuses, manifestEvents.Events)
	if period > 0 {
		h.PeriodMs, h.PeriodCounters = int(period.Milliseconds()), countersSince(earlier.Replies, statuses.Replies)
	}
	return h
}

// statusPrinter prints the health as text.
type statusPrinter struct {
	w io.Writer
}

func newStatusPrinter(w io.Writer) *statusPrinter {
	return &statusPrinter{w: w}
}

func (s *statusPrinter) print(h health, now time.Time) {
	s.printSummary(h, now)
	s.printConfigurations(h)
	s.printInstances(h)
	s.printFailureDomains(h)
	s.printTargets(h)
	s.printLimits(h)
	s.printCounters(h)
}

func (s *statusPrinter) printSummary(h health, now time.Time) {
	state := "HEALTHY"
	if !h.Healthy {
		state = "UNHEALTHY"
	}
	s.printLine("%s  %s  %d of %s answered", state, now.UTC().Format(time.RFC3339), len(h.Statuses), formatCount(len(h.Statuses)+len(h.Unanswered), "instance"))
	printRows(s, h.Reasons, func(reason string) { s.printLine("  - %s", reason) })
}

func (s *statusPrinter) printConfigurations(h health) {
	if len(h.Statuses) == 0 {
		s.printLine("\nCONFIGURATION  unknown, no instance answered")
		return
	}
	s.printLine("\nCONFIGURATION  platform last answered %s ago", formatAge(h.PlatformAgeMs))
	printRows(s, h.Configurations, func(c configurationGroup) {
		if c.Generation == 0 {
			s.printLine("  none on %s", strings.Join(c.Instances, ", "))
			return
		}
		s.printLine("  generation %d, digest %s, for up to %s, on %s", c.Generation, quoteUnprintable(c.Digest), formatAge(c.OldestMs), formatNames(c.Instances))
	})
}

func (s *statusPrinter) printInstances(h health) {
	s.printLine("\nINSTANCES")
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  name\tfailure domain\tready\tgeneration\tin force for\tversion")
	for _, r := range h.Statuses[:min(len(h.Statuses), maxSectionRows)] {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%t\t%d\t%s\t%s\n", quoteUnprintable(r.Instance), quoteUnprintable(r.FailureDomain), r.Ready, r.Generation, formatAge(r.ConfigurationAgeMs), quoteUnprintable(r.Version))
	}
	_ = table.Flush()
	s.printOmittedRows(len(h.Statuses))
}

func (s *statusPrinter) printFailureDomains(h health) {
	s.printLine("\nFAILURE DOMAINS")
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  name\tinstances\ttargets\tin flight")
	for _, d := range h.FailureDomains[:min(len(h.FailureDomains), maxSectionRows)] {
		_, _ = fmt.Fprintf(table, "  %s\t%d\t%s\t%d\n", quoteUnprintable(d.FailureDomain), d.Instances, formatStates(d.States), d.InFlight)
	}
	_ = table.Flush()
	s.printOmittedRows(len(h.FailureDomains))
}

// formatStates formats the number of targets in each state.
func formatStates(states map[string]int) string {
	texts := make([]string, 0, len(states))
	for _, state := range slices.Sorted(maps.Keys(states)) {
		texts = append(texts, fmt.Sprintf("%d %s", states[state], textOrDash(state)))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}

func (s *statusPrinter) printTargets(h health) {
	states := make(map[string]int)
	for _, t := range h.Targets {
		states[t.State]++
	}
	s.printLine("\nTARGETS  %d owned: %s", len(h.Targets), formatStates(states))
	affected := slices.DeleteFunc(slices.Clone(h.Targets), func(t targetHealth) bool { return severityRank(t.State) == len(targetStatesBySeverity) })
	printRows(s, affected, func(t targetHealth) {
		s.printLine("  %-11s  %s in %s, limit %d, owned by %s", t.State, quoteUnprintable(t.Target), quoteUnprintable(t.FailureDomain), t.Limit, formatNames(t.Owners))
	})
}

func (s *statusPrinter) printLimits(h health) {
	reached := slices.DeleteFunc(slices.Clone(h.Targets), func(t targetHealth) bool { return len(t.LimitReachedAt) == 0 })
	slices.SortStableFunc(reached, func(a, b targetHealth) int { return b.Queued - a.Queued })
	s.printLine("\nLIMITS REACHED  %s", formatCount(len(reached), "target"))
	printRows(s, reached, func(t targetHealth) {
		s.printLine("  %s: %d of %d in flight, %d queued, %d connections, limit reached on %s", quoteUnprintable(t.Target), t.InFlight, t.Limit, t.Queued, t.Connections, formatNames(t.LimitReachedAt))
	})
}

func (s *statusPrinter) printCounters(h health) {
	period := "since each instance started"
	if h.PeriodMs > 0 {
		period = "in " + formatAge(h.PeriodMs)
	}
	s.printLine("\nCOVERAGE AND EXTRA LOAD  %s", period)
	complete, partial, notRun, unknown := h.PeriodCounters[counterComplete], h.PeriodCounters[counterPartial], h.PeriodCounters[counterNotRun], h.PeriodCounters[counterUnknown]
	if queries := complete + partial + notRun + unknown; queries > 0 {
		s.printLine("  complete answers: %.3f %% of %d queries; %d partial, %d not-run, %d unknown", percentage(complete, queries), queries, partial, notRun, unknown)
	}
	if shards := h.PeriodCounters[counterShards]; shards > 0 {
		s.printLine("  coverage: %.3f %% of %d shards", percentage(h.PeriodCounters[counterShardsAnswered], shards), shards)
	}
	if needed := h.PeriodCounters[counterNeeded]; needed > 0 {
		s.printLine("  extra load: %.4f sub-queries that may have reached a target per sub-query needed", 1+float64(h.PeriodCounters[counterExtra])/float64(needed))
	}
	var shown []string
	for _, name := range slices.Sorted(maps.Keys(h.PeriodCounters)) {
		if slices.ContainsFunc(shownCounterParts, func(part string) bool { return strings.Contains(name, part) }) {
			shown = append(shown, name)
		}
	}
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	for _, name := range shown {
		_, _ = fmt.Fprintf(table, "  %s\t%d\n", quoteUnprintable(name), h.PeriodCounters[name])
	}
	_ = table.Flush()
}

// percentage returns part as a percentage of whole, which must be above 0.
func percentage(part, whole int) float64 {
	return 100 * float64(part) / float64(whole)
}

func (s *statusPrinter) printLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.w, format+"\n", arguments...)
}

// printOmittedRows prints how many of the rows were omitted, if any.
func (s *statusPrinter) printOmittedRows(total int) {
	if total > maxSectionRows {
		s.printLine("  and %d more; --json shows all", total-maxSectionRows)
	}
}

// printRows prints up to maxSectionRows items with the function, and how many were omitted.
func printRows[T any](s *statusPrinter, items []T, show func(T)) {
	for _, item := range items[:min(len(items), maxSectionRows)] {
		show(item)
	}
	s.printOmittedRows(len(items))
}

// maxNamesPerLine limits a list of names on one line.
const maxNamesPerLine = 8

func formatNames(list []string) string {
	text := quoteUnprintable(strings.Join(list[:min(len(list), maxNamesPerLine)], ", "))
	if len(list) > maxNamesPerLine {
		text += fmt.Sprintf(" and %d more", len(list)-maxNamesPerLine)
	}
	return text
}
