package connector

import (
	"context"
	"net/http"

	"apricotflow/internal/wire/encoder"
)

// FetchReport requests the report of the target on the control connection.
func (c *Connector) FetchReport(ctx context.Context) (encoder.TargetReport, error) {
	var report encoder.TargetReport
	err := c.withControl(ctx, "report", func(ctx context.Context, connection *Connection) error {
		var err error
		report, err = connection.fetchReport(ctx, c.target)
		return err
	})
	return report, err
}

// Cancel tells the target that the results of the attempts are no longer needed.
func (c *Connector) Cancel(ctx context.Context, attempts []string) error {
	body := encoder.Encode(encoder.CancelRequest{Attempts: attempts})
	return c.withControl(ctx, "cancel", func(ctx context.Context, connection *Connection) error {
		_, err := connection.roundTrip(ctx, http.MethodPost, "/v1/cancel", body)
		return err
	})
}

// withControl runs one control request and closes the control connection if it fails. Control requests are idempotent.
// One that failed on a reused connection is repeated on a new connection, because the incarnation at the other end of
// the old one may have ended.
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

// tryControl runs a control request and reports whether it used an existing connection.
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

// controlConnection returns the open control connection and true, or a new one and false. c.controlMu must be held.
func (c *Connector) controlConnection(ctx context.Context) (connection *Connection, used bool, err error) {
	c.mu.Lock()
	connection = c.control
	c.mu.Unlock()
	if connection != nil && connection.IsOpen() {
		return connection, true, nil
	}
	connection, err = c.dial(ctx, openTimeout)
	c.recordControlDial(err)
	if err != nil {
		return nil, false, err
	}
	c.setControl(connection)
	return connection, false, nil
}

// recordControlDial counts consecutive failures to open a control connection. After maxConnectFailures of them, the
// target is marked as down.
func (c *Connector) recordControlDial(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.controlFailures = 0
		return
	}
	c.controlFailures++
	if c.controlFailures >= maxConnectFailures {
		c.markDown(err)
		c.wakeWaiters()
	}
}

func (c *Connector) setControl(connection *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = connection
}

// dropControl closes the control connection, which ends any request on it.
func (c *Connector) dropControl() {
	c.mu.Lock()
	connection := c.control
	c.control = nil
	c.mu.Unlock()
	if connection != nil {
		connection.close()
	}
}
