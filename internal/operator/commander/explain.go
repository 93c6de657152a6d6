package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/collector"
	"apricotflow/internal/wire/encoder"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where an instance would send a request now, and why",
		Description: `Asks one relaying instance what it would do now with a request, without sending it, and shows the route, the tenant,
what would refuse the request, and for each service the targets with the figures by which one is chosen, the best one
first, and the targets that are left out with the reason.

The tenant is given by its name. A key is neither needed nor shown.

Examples:
  apricotflow explain --address 127.0.0.1:7201 --host shop.example --path /search/
  apricotflow explain --address 127.0.0.1:7201 --host shop.example --path /cart/ --tenant acme --json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "admin address of an instance, as `IP:PORT`", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: "tenant", Usage: "`NAME` of the tenant that sends the request"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the request, which selects the service of a split"},
			jsonFlag("print the explanation as one JSON object"),
		},
		Action: withoutArguments(runExplain),
	}
}

func runExplain(ctx context.Context, command *cli.Command) error {
	address, err := parseAddress("--address", command.String("address"))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(command.String("path"), "/") {
		return usageError("--path must begin with a slash")
	}
	reply, err := collector.New().FetchExplanation(ctx, address, collector.Question{
		Host: command.String("host"), Path: command.String("path"), Tenant: command.String("tenant"), RequestID: command.String("id"),
	})
	if err != nil {
		return newExitError(ExitFailed, "%s", quoteUnprintable(err.Error()))
	}
	if command.Bool("json") {
		printJSON(command.Root().Writer, reply)
		return nil
	}
	printExplanation(command.Root().Writer, reply)
	return nil
}

func printExplanation(out io.Writer, reply encoder.ExplainReply) {
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(out, format+"\n", arguments...) }
	line("instance   %s, version %d", quoteUnprintable(reply.Instance), reply.Version)
	line("route      %s", textOrDash(reply.Route))
	tenant := textOrDash(reply.Tenant)
	if reply.TenantRate > 0 {
		tenant += fmt.Sprintf(", %g requests/s with a burst of %g", reply.TenantRate, reply.TenantBurst)
	}
	line("tenant     %s", tenant)
	line("in flight  %d of %d%s", reply.InFlight, reply.InFlightLimit, tenantShareText(reply))
	if len(reply.Refusals) == 0 {
		line("refused by -")
	}
	for _, r := range reply.Refusals {
		retry := ""
		if r.RetryAfterMs > 0 {
			retry = ", retry after " + formatMilliseconds(r.RetryAfterMs)
		}
		line("refused by %d: %s%s", r.Status, quoteUnprintable(r.Reason), retry)
	}
	for _, note := range reply.Notes {
		line("note       %s", quoteUnprintable(note))
	}
	for _, s := range reply.Services {
		line("")
		line("service %s: median %s, hedge after %s, %d waiting go first, tenant got %.1f, preferred domain %s%s", quoteUnprintable(s.Service),
			formatMilliseconds(s.MedianMs), formatMilliseconds(s.HedgeDelayMs), s.Ahead, s.TenantGot, textOrDash(s.PreferredDomain), limitWaitText(s.LimitWaitMs))
		printCandidates(out, s.Candidates)
	}
}

func tenantShareText(reply encoder.ExplainReply) string {
	if reply.TenantShare == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of the tenant, whose share is %d when crowded", reply.TenantInFlight, reply.TenantShare)
}

func limitWaitText(ms float64) string {
	if ms == 0 {
		return ""
	}
	return ", request limits allow one after " + formatMilliseconds(ms)
}

func printCandidates(out io.Writer, candidates []encoder.ExplainedCandidate) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  TARGET\tDOMAIN\tSCORE\tLATENCY\tWORK\tWAIT\tIN FLIGHT\tRELATIVE\tOTHERS\tNOTES")
	for _, c := range candidates {
		score, latency, work, wait := "-", "-", "-", "-"
		if c.Excluded == "" {
			score, latency = formatMilliseconds(c.ScoreMs), formatMilliseconds(c.LatencyMs)
		}
		if c.ByCost {
			work, wait = formatMilliseconds(c.WorkMs), formatMilliseconds(c.WaitMs)
		}
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%.2f\t%.1f\t%s\n", quoteUnprintable(c.Target), quoteUnprintable(c.FailureDomain), score,
			latency, work, wait, c.InFlight, c.Limit, c.RelativeLatency, c.OtherRequests, textOrDash(strings.Join(candidateNotes(c), ", ")))
	}
	_ = table.Flush()
}

// candidateNotes returns why a target is left out, and its penalties.
func candidateNotes(c encoder.ExplainedCandidate) []string {
	var notes []string
	if c.Excluded != "" {
		notes = append(notes, "left out: "+quoteUnprintable(c.Excluded))
	}
	if c.Cold {
		notes = append(notes, "cold")
	}
	penalties := []struct {
		name string
		ms   float64
	}{
		{"backlog", c.BacklogPenaltyMs},
		{"other domain", c.DomainPenaltyMs},
		{"overdue reply", c.OverduePenaltyMs},
		{"failures", c.FailurePenaltyMs},
		{"request limit", c.LimitPenaltyMs},
	}
	for _, p := range penalties {
		if p.ms > 0 {
			notes = append(notes, p.name+" +"+formatMilliseconds(p.ms))
		}
	}
	return notes
}

func formatMilliseconds(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}
