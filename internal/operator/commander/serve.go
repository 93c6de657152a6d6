package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"apricotflow/internal/operator/loader"
)

func newServeCommand(serve Serve) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance",
		Description: `Runs an instance until SIGINT or SIGTERM, then shuts it down gracefully: it reports that it is not ready for
balancer-ms, finishes the requests in flight within shutdown-ms, and exits. An instance with relay settings takes
at most relay.grace-seconds for all of this instead.

The settings file contains the name and failure domain of the instance and its addresses, each an IP address with
a port:

  {"instance": "a", "failure-domain": "west", "caller-address": "127.0.0.1:7001",
   "peer-address": "127.0.0.1:7101", "admin-address": "127.0.0.1:7201", "platform-address": "127.0.0.1:7900"}

Example:
  apricotflow serve --settings a.json`,
		Flags: []cli.Flag{settingsFlag(true)},
		Action: withoutArguments(func(ctx context.Context, command *cli.Command) error {
			file := command.String("settings")
			settings, err := loader.Load(file)
			if err != nil {
				return reportSettingsError(command.Root().ErrWriter, file, err)
			}
			if err := serve(ctx, settings); err != nil {
				return newExitError(ExitFailed, "%v", err)
			}
			return nil
		}),
	}
}

func settingsFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "settings `FILE` of an instance", Required: required}
}
