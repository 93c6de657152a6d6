package connector

import (
	"context"
	"net/http"

	"apricotflow/internal/wire/encoder"
)

// Report asks for the report of the target on the control connection.
func (c *Connector) Report(ctx context.Context) (encoder.TargetReport, error) {
	var report encoder.TargetReport
	err := c.withControl(ctx, "report", func(ctx context.Context, connection *Connection) error {
		var err error
		report, err = connection.report(ctx, c.target)
		return err
	})
	return report, err
}

// Cancel tells the target that the results of the attempts no longer matter.
func (c *Connector) Cancel(ctx context.Context, attempts []string) error {
	body := encoder.Encode(encoder.CancelRequest{Attempts: attempts})
	return c.withControl(ctx, "cancel", func(ctx context.Context, connection *Connection) error {
		_, err := connection.roundTrip(ctx, http.MethodPost, "/v1/cancel", body)
		return err
	})
}

// withControl runs one control request; a failed one costs the connection. Control requests can be repeated, so one
// that failed on a used connection, which may have ended with its incarnation, is tried on a new one.
func (c *Connector) withControl(ctx context.Context, request string, f func(context.Context, *Connection) error) error {
	c.controlMu.Lock()
	defer c.controlMu.Unlock()
	used, err := c.tryControl(ctx, f)
	if err != nil && used && ctx.Err() == nil {
		_, err = c.tryControl(ctx, f)
	}
	if err != nil {
		return &ControlError{Target: c.target, Request: request, Cause: err}
	}
	return nil
}

// tryControl runs a control request and reports whether it was sent on a used connection.
func (c *Connector) tryControl(ctx context.Context, f func(context.Context, *Connection) error) (used bool, err error) {
	if c.ctx.Err() != nil {
		return false, &ClosedError{Target: c.target}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	connection, used, err := c.controlConnection(ctx)
	if err != nil {
		return false, err
	}
	if err := f(ctx, connection); err != nil {
		connection.close()
		return used, err
	}
	return used, nil
}

// controlConnection returns the open control connection, or a new one that was not used; the caller holds controlMu.
func (c *Connector) controlConnection(ctx context.Context) (connection *Connection, used bool, err error) {
	c.mu.Lock()
	connection = c.control
	c.mu.Unlock()
	if connection != nil && connection.Alive() {
		return connection, true, nil
	}
	connection, err = c.dial(ctx, openTimeout)
	c.noteControl(err)
	if err != nil {
		return nil, false, err
	}
	c.setControl(connection)
	return connection, false, nil
}

// noteControl counts failed control connections in a row; the target is down after openAttempts.
func (c *Connector) noteControl(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.controlFailures = 0
		return
	}
	c.controlFailures++
	if c.controlFailures >= openAttempts {
		c.markDown(err)
		c.wake()
	}
}

func (c *Connector) setControl(connection *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = connection
}

// dropControl closes the control connection, which ends a request on it.
func (c *Connector) dropControl() {
	c.mu.Lock()
	connection := c.control
	c.control = nil
	c.mu.Unlock()
	if connection != nil {
		connection.close()
	}
}
