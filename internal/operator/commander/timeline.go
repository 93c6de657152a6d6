package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/collector"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func newTimelineCommand(now func() time.Time) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "print the events of all instances in causal order",
		Description: `Asks all instances for their events and merges them by hybrid logical clock: an event that could have caused
another one comes first, even if the clocks of the machines differ. Each line shows the time in UTC, the instance,
the kind of event, its subject (such as a target, target group, peer or failure domain), the query and details.

Each instance keeps its latest 8,192 events in memory only, so that the events of a stopped or killed instance are
lost. Normal operation records no events. Of the kinds of event that a fault can cause with every query, each
instance keeps two per second; the next event of the kind tells how many were left out. Instances that did not
answer are listed at the end, and the exit code is then 5.

Examples:
  apricotflow timeline --platform 127.0.0.1:7900 --since 10m
  apricotflow timeline --instances 127.0.0.1:7201,127.0.0.1:7202 --target leaf-3 --kind target-cold --json`,
		Flags: append(instanceFlags(),
			&cli.StringFlag{Name: "since", Usage: "only events after `TIME`, given as an age such as 10m or a time such as 2026-01-31T12:00:00Z"},
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of these `KINDS`, such as target-cold,target-warm"},
			&cli.StringSliceFlag{Name: "subject", Aliases: []string{"target"}, Usage: "only events about these `SUBJECTS`, separated by commas"},
			&cli.StringFlag{Name: "query", Usage: "only events of the query with this `ID`"},
			jsonFlag("print each event as one JSON object per line"),
		),
		Action: withoutArguments(func(ctx context.Context, command *cli.Command) error {
			return runTimeline(ctx, command, now())
		}),
	}
}

func runTimeline(ctx context.Context, command *cli.Command, now time.Time) error {
	after, err := parseSince(command.String("since"), now)
	if err != nil {
		return err
	}
	c, instances, err := findInstances(ctx, command)
	if err != nil {
		return err
	}
	timeline := c.FetchEvents(ctx, instances, collector.Filter{
		After:    after,
		Kinds:    command.StringSlice("kind"),
		Subjects: command.StringSlice("subject"),
		Query:    command.String("query"),
	})
	printEvents(command.Root().Writer, timeline.Events, command.Bool("json"))
	printOverwritten(command.Root().ErrWriter, timeline.Overwritten)
	printFailures(command.Root().ErrWriter, timeline.Failures)
	if len(timeline.Failures) > 0 {
		return newExitError(ExitIncomplete, "%d of %s did not answer", len(timeline.Failures), formatCount(len(instances), "instance"))
	}
	return nil
}

// parseSince parses an age or a time and returns the clock value after which events are selected; 0 selects all.
func parseSince(text string, now time.Time) (int, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return timekeeper.ValueAt(now.Add(-d)), nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return timekeeper.ValueAt(t), nil
	}
	return 0, usageError("--since must be an age such as 10m or a time such as 2026-01-31T12:00:00Z, not %q", text)
}

func printEvents(w io.Writer, events []encoder.Event, asJSON bool) {
	if asJSON {
		for _, e := range events {
			printJSON(w, e)
		}
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range events {
		at := timekeeper.WallTime(e.Clock).UTC().Format("2006-01-02T15:04:05.000Z")
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", at, quoteUnprintable(e.Instance), quoteUnprintable(e.Kind), textOrDash(e.Subject), textOrDash(e.Query), quoteUnprintable(e.Detail))
	}
	_ = table.Flush()
}

func printOverwritten(w io.Writer, overwritten map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(overwritten)) {
		if overwritten[name] > 0 {
			printError(w, fmt.Sprintf("instance %s: %s no longer kept", quoteUnprintable(name), formatCount(overwritten[name], "older event")))
		}
	}
}

func printFailures(w io.Writer, failures []collector.Failure) {
	for _, f := range failures {
		printError(w, fmt.Sprintf("instance %s did not answer: %s", f.Instance, quoteUnprintable(f.Cause.Error())))
	}
}

func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return quoteUnprintable(text)
}
