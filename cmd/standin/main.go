// Command standin provides small stand-ins for the systems around apricotflow, and load.
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
