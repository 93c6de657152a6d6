// Package assembler creates the components of one instance, connects them, and starts and stops them in order. Package
// main calls Run for native mode, in which an instance answers queries under a manifest, and RunRelay for relay mode,
// in which it relays HTTP requests by the routes of a routing table. All other behaviour is left to the components.
package assembler

import (
	"context"
	"fmt"
	"io"

	"go.uber.org/fx"

	"apricotflow/internal/operator/loader"
)

// StartError reports an instance that failed to start.
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

// StopError reports an instance whose graceful shutdown failed, such as one that had to cut off requests.
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

// Run runs an instance in native mode: it serves queries under a manifest until ctx ends, then shuts down gracefully.
// Logs are written to logs.
func Run(ctx context.Context, settings loader.Settings, version string, logs io.Writer) error {
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.BalancerDelay()+settings.ShutdownTimeout()+stopMargin),
		fx.Supply(settings, Version(version)),
		fx.Provide(func() io.Writer { return logs }),
		operatorModule, clusterModule, targetModule, queryModule, callerModule,
		fx.Invoke(registerNativeInstance),
	)
	return runApp(ctx, app)
}

// runApp starts the application, waits for the end of ctx, and stops it.
func runApp(ctx context.Context, app *fx.App) error {
	if err := app.Err(); err != nil {
		return &StartError{Cause: err}
	}
	// A signal during the start does not interrupt it, so that the stop that follows is graceful.
	startCtx, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return &StartError{Cause: err}
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return &StopError{Cause: err}
	}
	return nil
}
