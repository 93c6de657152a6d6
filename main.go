// Command apricotflow is a query tier over many shards.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"apricotflow/internal/operator/commander"
	"apricotflow/internal/operator/loader"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args, os.Stdout, os.Stderr, serve)
	stop()
	os.Exit(code)
}

func serve(context.Context, loader.Settings) error {
	return errors.New("serve is not available in this build")
}
