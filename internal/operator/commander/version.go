package commander

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version returns the version of the program from its build information, with the revision if it is known, or
// "unknown".
func Version() string {
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

func newVersionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Prints the version of the program and of the Go toolchain that built it.\n\nExample:\n  apricotflow version",
		Action: withoutArguments(func(_ context.Context, command *cli.Command) error {
			toolchain := "unknown"
			if info, found := debug.ReadBuildInfo(); found {
				toolchain = info.GoVersion
			}
			_, _ = fmt.Fprintf(command.Root().Writer, "apricotflow %s (%s)\n", Version(), toolchain)
			return nil
		}),
	}
}
