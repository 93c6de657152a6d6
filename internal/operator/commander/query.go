package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/wire/encoder"
)

func newQueryCommand() *cli.Command {
	return &cli.Command{
		Name:  "query",
		Usage: "send one query and print the answer",
		Description: `Sends a query to the caller address of an instance and prints the outcome, the snapshot that the answer was
computed from, the coverage, the hits and the missing shards.

A query of a non-idempotent class needs a ticket, so that it runs at most once. The command requests a ticket when
the instance requires one. If the outcome is unknown, the command prints the ticket: with --ticket, a query that is
sent again does not run again but returns the answer of the first run.

The exit code depends on the outcome: 0 complete, 5 partial, 6 not-run, 7 unknown.

Examples:
  apricotflow query --address 127.0.0.1:7001 --class counter-search --text laminate --limit 5
  apricotflow query --address 127.0.0.1:7001 --class receipt-reprint --key order-17 --json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "caller address of an instance, as `IP:PORT`", Required: true},
			&cli.StringFlag{Name: "class", Usage: "`NAME` of a query class in the manifest", Required: true},
			&cli.StringFlag{Name: "text", Usage: "`TEXT` to search for"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` of the query, for a class with routing \"key\""},
			&cli.IntFlag{Name: "deadline-ms", Usage: "deadline of the query in `MS`, at most that of the class (default: that of the class)", HideDefault: true},
			&cli.IntFlag{Name: "limit", Usage: "maximum number `N` of hits, from 1 to 1000 (default: 10)", HideDefault: true},
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` of an earlier query that is sent again"},
			jsonFlag("print the reply as one JSON object"),
		},
		Action: withoutArguments(runQuery),
	}
}

func jsonFlag(usage string) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: usage}
}

func runQuery(ctx context.Context, command *cli.Command) error {
	address, err := parseAddress("--address", command.String("address"))
	if err != nil {
		return err
	}
	if command.IsSet("deadline-ms") && command.Int("deadline-ms") < 1 {
		return usageError("--deadline-ms must be at least 1")
	}
	request := newQueryRequest(command)
	ctx, cancel := context.WithTimeout(ctx, queryDeadline(request)+replyMargin)
	defer cancel()
	reply, sent, err := newCallerClient(address).query(ctx, request)
	printer := queryPrinter{out: command.Root().Writer, errOut: command.Root().ErrWriter, asJSON: command.Bool("json")}
	if err != nil {
		return printer.printFailure(err, sent)
	}
	printer.printReply(reply)
	return exitErrorForOutcome(reply.Outcome)
}

func newQueryRequest(command *cli.Command) encoder.QueryRequest {
	return encoder.QueryRequest{
		QueryClass: command.String("class"),
		Text:       optional(command, "text", command.String("text")),
		Key:        optional(command, "key", command.String("key")),
		Ticket:     optional(command, "ticket", command.String("ticket")),
		DeadlineMs: optional(command, "deadline-ms", command.Int("deadline-ms")),
		Limit:      optional(command, "limit", command.Int("limit")),
	}
}

// optional returns a pointer to the value of a flag, or nil if the flag is not set, so that the instance applies its
// default.
func optional[T any](command *cli.Command, flag string, value T) *T {
	if !command.IsSet(flag) {
		return nil
	}
	return &value
}

func queryDeadline(request encoder.QueryRequest) time.Duration {
	if request.DeadlineMs == nil {
		return maxDeadline
	}
	return time.Duration(*request.DeadlineMs) * time.Millisecond
}

func exitErrorForOutcome(outcome encoder.QueryOutcome) error {
	switch outcome {
	case encoder.QueryOutcomeComplete:
		return nil
	case encoder.QueryOutcomePartial:
		return newExitError(ExitIncomplete, "the answer is partial")
	case encoder.QueryOutcomeNotRun:
		return newExitError(ExitNotRun, "the query did not run")
	default:
		return newExitError(ExitOutcomeUnknown, "the outcome of the query is unknown")
	}
}

// queryPrinter prints the result of a query.
type queryPrinter struct {
	out, errOut io.Writer
	asJSON      bool
}

func (p queryPrinter) printReply(reply encoder.QueryReply) {
	if p.asJSON {
		printJSON(p.out, reply)
		return
	}
	c := reply.Coverage
	p.printLine("outcome   %s", reply.Outcome)
	p.printLine("snapshot  index %s version %d, generation %d", quoteUnprintable(reply.Snapshot.Index), reply.Snapshot.Version, reply.Snapshot.Generation)
	p.printLine("coverage  %d of %d shards, %d of %d documents (%s)", c.ShardsAnswered, c.Shards, c.DocumentsAnswered, c.Documents, formatDocumentShare(c.DocumentsAnswered, c.Documents))
	p.printLine("query     %s, answered by %s", quoteUnprintable(reply.Query), quoteUnprintable(reply.Instance))
	p.printLine("hits      %d", len(reply.Hits))
	for _, h := range reply.Hits {
		p.printLine("  %8.3f  %s (shard %s)", h.Score, quoteUnprintable(h.Document), quoteUnprintable(h.Shard))
	}
	if len(reply.Missing) > 0 {
		p.printLine("missing   %d", len(reply.Missing))
	}
	for _, m := range reply.Missing {
		p.printLine("  shard %s: %s, %s", quoteUnprintable(m.Shard), m.Outcome, m.Reason)
	}
}

func (p queryPrinter) printFailure(err error, sent encoder.QueryRequest) error {
	var refused *refusedError
	if errors.As(err, &refused) {
		if p.asJSON {
			printJSON(p.out, refused.reply)
		}
		printError(p.errOut, "query refused: "+quoteUnprintable(refused.Error()))
		p.printTicketHint(refused.reply.Outcome, sent)
		return exitErrorForOutcome(refused.reply.Outcome)
	}
	printError(p.errOut, quoteUnprintable(err.Error()))
	outcome := encoder.QueryOutcomeNotRun
	var noReply *noReplyError
	if errors.As(err, &noReply) && noReply.maybeSent {
		outcome = encoder.QueryOutcomeUnknown
	}
	p.printTicketHint(outcome, sent)
	return exitErrorForOutcome(outcome)
}

// printTicketHint prints how to fetch the answer with the ticket if the outcome is unknown.
func (p queryPrinter) printTicketHint(outcome encoder.QueryOutcome, sent encoder.QueryRequest) {
	if outcome == encoder.QueryOutcomeUnknown && sent.Ticket != nil {
		printError(p.errOut, "to fetch the answer without running the query again, add --ticket "+quoteUnprintable(*sent.Ticket))
	}
}

func (p queryPrinter) printLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", arguments...)
}
