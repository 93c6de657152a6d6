// Package assembler builds one instance from its parts and runs it until it is told to stop.
package assembler

import (
	"context"
	"fmt"
	"io"

	"go.uber.org/fx"

	"apricotflow/internal/operator/loader"
)

// StartError reports an instance that could not start.
type StartError struct {
	// Cause is never nil.
	Cause error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("assembler: start instance: %v", e.Cause)
}

func (e *StartError) Unwrap() error {
	return e.Cause
}

// StopError reports an instance that had to cut off work when it stopped.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("assembler: stop instance: %v", e.Cause)
}

func (e *StopError) Unwrap() error {
	return e.Cause
}

// Run serves until ctx ends, then shuts down gracefully. Logs go to the writer.
func Run(ctx context.Context, settings loader.Settings, version string, logs io.Writer) error {
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.BalancerDelay()+settings.ShutdownTimeout()+stopMargin),
		fx.Supply(settings, Version(version)),
		fx.Provide(func() io.Writer { return logs }),
		operatorParts, clusterParts, targetParts, queryParts, callerParts,
		fx.Invoke(run),
	)
	return runApp(ctx, app)
}

// runApp starts the parts, waits for the end of ctx, and stops them.
func runApp(ctx context.Context, app *fx.App) error {
	if err := app.Err(); err != nil {
		return &StartError{Cause: err}
	}
	// A stop during the start waits for its end, so that it is graceful like any other.
	start, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancelStart()
	if err := app.Start(start); err != nil {
		return &StartError{Cause: err}
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}
