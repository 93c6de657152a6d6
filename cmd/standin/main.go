// Command standin runs stand-ins for the systems around apricotflow, such as targets and the platform. It also
// generates load and runs benchmarks and soak tests. Package commander of the stand-ins implements the subcommands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"apricotflow/internal/standin/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commander.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
