// Command apricotflow is a query tier over many shards.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"apricotflow/internal/caller/assembler"
	"apricotflow/internal/operator/commander"
	"apricotflow/internal/operator/loader"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args, os.Stdout, os.Stderr, serve)
	stop()
	os.Exit(code)
}

func serve(ctx context.Context, settings loader.Settings) error {
	return assembler.Run(ctx, settings, commander.Version(), os.Stderr)
}
