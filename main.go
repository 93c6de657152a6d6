// Command apricotflow runs one instance of a query tier over many shards, in native or relay mode as the settings
// select, or one of the operator's commands. For relay mode it connects the platform's protocol from package platform.
// Package commander parses the arguments and runs the commands; package assembler builds and runs the instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"apricotflow/internal/caller/assembler"
	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/operator/commander"
	"apricotflow/internal/operator/loader"
	"apricotflow/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args, os.Stdout, os.Stderr, serve)
	// Until here, further signals are ignored, so that they do not interrupt the graceful shutdown.
	stop()
	os.Exit(code)
}

// serve runs an instance in the mode that the settings select. A relaying instance writes its log as JSON lines to
// standard output, an instance in native mode as text to standard error.
func serve(ctx context.Context, settings loader.Settings) error {
	if settings.Relay() != nil {
		return assembler.RunRelay(ctx, settings, commander.Version(), os.Stdout, assembler.PlatformAdapters{
			NewSource:     func(address string, logger *log.Logger) follower.Source { return platform.NewStore(address, logger) },
			TargetHeaders: platform.TargetHeaders{},
			CallerHeaders: platform.CallerHeaders{},
		})
	}
	return assembler.Run(ctx, settings, commander.Version(), os.Stderr)
}
