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
computed from, the coverage, the hits and the shards without an answer.

A query of a non-idempotent class needs a ticket, so that it runs at most once. The command takes one when the
instance asks for it. If the outcome is unknown, it prints the ticket: a query that is sent again with --ticket
does not run again, but gets the same answer.

The exit code tells the outcome: 0 complete, 5 partial, 6 not-run, 7 unknown.

Examples:
  apricotflow query --address 127.0.0.1:7001 --class counter-search --text laminate --limit 5
  apricotflow query --address 127.0.0.1:7001 --class receipt-reprint --key order-17 --json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "caller address of an instance, as `IP:PORT`", Required: true},
			&cli.StringFlag{Name: "class", Usage: "`NAME` of a query class of the manifest", Required: true},
			&cli.StringFlag{Name: "text", Usage: "`TEXT` to search for"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` of a class with routing \"key\""},
			&cli.IntFlag{Name: "deadline-ms", Usage: "time for the answer in `MS`, at most that of the class (default: that of the class)", HideDefault: true},
			&cli.IntFlag{Name: "limit", Usage: "most hits wanted, `N` from 1 to 1000 (default: 10)", HideDefault: true},
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` of a query that is sent again"},
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
	ctx, cancel := context.WithTimeout(ctx, answerTime(request)+replyMargin)
	defer cancel()
	reply, sent, err := newCallerClient(address).query(ctx, request)
	p := queryPrinter{out: command.Root().Writer, errOut: command.Root().ErrWriter, asJSON: command.Bool("json")}
	if err != nil {
		return p.failure(err, sent)
	}
	p.reply(reply)
	return exitOf(reply.Outcome)
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

// optional returns nil for a flag that is not set, so that the instance applies its default.
func optional[T any](command *cli.Command, flag string, value T) *T {
	if !command.IsSet(flag) {
		return nil
	}
	return &value
}

func answerTime(request encoder.QueryRequest) time.Duration {
	if request.DeadlineMs == nil {
		return longestDeadline
	}
	return time.Duration(*request.DeadlineMs) * time.Millisecond
}

func exitOf(outcome encoder.QueryOutcome) error {
	switch outcome {
	case encoder.QueryOutcomeComplete:
		return nil
	case encoder.QueryOutcomePartial:
		return exit(ExitIncomplete, "the answer is partial")
	case encoder.QueryOutcomeNotRun:
		return exit(ExitNotRun, "the query did not run")
	default:
		return exit(ExitUnknown, "the outcome of the query is unknown")
	}
}

// queryPrinter renders the result of a query.
type queryPrinter struct {
	out, errOut io.Writer
	asJSON      bool
}

func (p queryPrinter) reply(reply encoder.QueryReply) {
	if p.asJSON {
		printJSON(p.out, reply)
		return
	}
	c := reply.Coverage
	p.line("outcome   %s", reply.Outcome)
	p.line("snapshot  index %s version %d, generation %d", printable(reply.Snapshot.Index), reply.Snapshot.Version, reply.Snapshot.Generation)
	p.line("coverage  %d of %d shards, %d of %d documents (%s)", c.ShardsAnswered, c.Shards, c.DocumentsAnswered, c.Documents, percent(c.DocumentsAnswered, c.Documents))
	p.line("query     %s, answered by %s", printable(reply.Query), printable(reply.Instance))
	p.line("hits      %d", len(reply.Hits))
	for _, h := range reply.Hits {
		p.line("  %8.3f  %s (shard %s)", h.Score, printable(h.Document), printable(h.Shard))
	}
	if len(reply.Missing) > 0 {
		p.line("missing   %d", len(reply.Missing))
	}
	for _, m := range reply.Missing {
		p.line("  shard %s: %s, %s", printable(m.Shard), m.Outcome, m.Reason)
	}
}

func (p queryPrinter) failure(err error, sent encoder.QueryRequest) error {
	var refused *refusedError
	if errors.As(err, &refused) {
		if p.asJSON {
			printJSON(p.out, refused.reply)
		}
		printError(p.errOut, "query refused: "+printable(refused.Error()))
		p.hintTicket(refused.reply.Outcome, sent)
		return exitOf(refused.reply.Outcome)
	}
	printError(p.errOut, printable(err.Error()))
	outcome := encoder.QueryOutcomeNotRun
	var lost *lostError
	if errors.As(err, &lost) && lost.sent {
		outcome = encoder.QueryOutcomeUnknown
	}
	p.hintTicket(outcome, sent)
	return exitOf(outcome)
}

// hintTicket names the ticket with which the same answer can still be fetched.
func (p queryPrinter) hintTicket(outcome encoder.QueryOutcome, sent encoder.QueryRequest) {
	if outcome == encoder.QueryOutcomeUnknown && sent.Ticket != nil {
		printError(p.errOut, "to fetch the answer without running the query again, add --ticket "+printable(*sent.Ticket))
	}
}

func (p queryPrinter) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", arguments...)
}
