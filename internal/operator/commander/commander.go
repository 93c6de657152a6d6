// Package commander implements the command line of the program. It parses the arguments, calls the packages that do the
// work, prints their results and chooses the exit code. Running an instance is left to the function that main passes
// in.
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

// Serve runs an instance until the context ends and returns after the graceful shutdown.
type Serve func(ctx context.Context, s loader.Settings) error

// Run executes the command line and returns the exit code of the process. The first argument is the program name.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer, serve Serve) int {
	err := newRoot(out, errOut, serve).Run(ctx, arguments)
	if err == nil {
		return int(ExitSuccess)
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		printError(errOut, exitErr.message)
		return int(exitErr.code)
	}
	printError(errOut, err.Error())
	printError(errOut, "use --help for a list of the commands and flags")
	return int(ExitUsage)
}

func newRoot(out, errOut io.Writer, serve Serve) *cli.Command {
	root := &cli.Command{
		Name:  "apricotflow",
		Usage: "query tier over many shards",
		Description: `An instance accepts queries from callers, sends each query to one replica of every shard and merges the replies.
"serve" runs an instance; "check" validates a manifest or settings file before it is published; "query" sends one
query; "status" shows the current state of a whole deployment, and "timeline" its past events; "explain" shows where
an instance that relays would send a request.

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
			newExplainCommand(),
			newVersionCommand(),
		},
	}
	returnUsageErrors(root)
	return root
}

// showHelp prints the help of the program, or reports an unknown command.
func showHelp(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError("unknown command %q; use --help for a list of the commands", command.Args().First())
	}
	return cli.ShowRootCommandHelp(command)
}

// returnUsageErrors makes a command and its subcommands return usage errors to Run, which prints a short message
// instead of the whole help.
func returnUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range command.Commands {
		returnUsageErrors(sub)
	}
}

// withoutArguments refuses positional arguments. Otherwise, a flag without its "--" would be ignored.
func withoutArguments(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Present() {
			return usageError("unexpected argument %q for %s", command.Args().First(), command.Name)
		}
		return action(ctx, command)
	}
}

func printError(w io.Writer, message string) {
	if message != "" {
		_, _ = fmt.Fprintln(w, "apricotflow: "+message)
	}
}
