// Package commander is the command line: it parses the arguments, calls the packages that do the work and renders
// their results.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/loader"
)

// Serve runs an instance until the context ends, and returns after the graceful shutdown.
type Serve func(ctx context.Context, s loader.Settings) error

// Run executes the command line and returns the exit code of the process. The first argument is the program.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer, serve Serve) int {
	err := newRoot(out, errOut, serve).Run(ctx, arguments)
	if err == nil {
		return int(ExitSuccess)
	}
	var exit *exitError
	if errors.As(err, &exit) {
		printError(errOut, exit.message)
		return int(exit.code)
	}
	printError(errOut, err.Error())
	printError(errOut, "use --help for the commands and flags")
	return int(ExitUsage)
}

func newRoot(out, errOut io.Writer, serve Serve) *cli.Command {
	root := &cli.Command{
		Name:  "apricotflow",
		Usage: "query tier over many shards",
		Description: `An instance takes queries from callers, sends them to one replica of every shard and merges the replies.
"serve" runs an instance; "check" tests a manifest or settings file before it is published; "query" sends one
query; "status" and "timeline" show what a whole deployment does and did.

Examples:
  apricotflow check --settings a.json --manifest manifest.json
  apricotflow serve --settings a.json
  apricotflow query --address 127.0.0.1:7001 --class counter-search --text laminate
  apricotflow status --platform 127.0.0.1:7900

` + exitCodeHelp,
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         showHelp,
		Commands: []*cli.Command{
			newServeCommand(serve),
			newCheckCommand(),
			newQueryCommand(),
			newStatusCommand(time.Now),
			newTimelineCommand(time.Now),
			newVersionCommand(),
		},
	}
	returnUsageErrors(root)
	return root
}

// showHelp runs when the first argument is not a command.
func showHelp(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError("unknown command %q; use --help for the commands", command.Args().First())
	}
	return cli.ShowRootCommandHelp(command)
}

// returnUsageErrors leaves the report of usage errors to Run, which then prints one line instead of the whole help.
func returnUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range command.Commands {
		returnUsageErrors(sub)
	}
}

// withoutArguments refuses positional arguments, since a forgotten "--" would otherwise be ignored.
func withoutArguments(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Present() {
			return usageError("unexpected argument %q of %s", command.Args().First(), command.Name)
		}
		return action(ctx, command)
	}
}

func printError(w io.Writer, message string) {
	if message != "" {
		_, _ = fmt.Fprintln(w, "apricotflow: "+message)
	}
}
