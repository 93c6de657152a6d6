package connector

import (
	"math/rand/v2"
	"time"

	"apricotflow/internal/operator/recorder"
)

// handleSilence drops the idle connections and tries a new connection; the target is down when that fails too.
// It cancels the attempt on the new connection and reports whether that succeeded.
func (c *Connector) handleSilence(attempt string) bool {
	c.scope.Counter("target-connections-silent").Inc(1)
	c.events.Record(recorder.KindConnectionSilent, c.target, "", "attempt "+attempt)
	c.dropIdle()
	c.dropControl()
	var err error
	for range openAttempts {
		if err = c.Cancel(c.ctx, []string{attempt}); err == nil {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markDown(err)
	c.wake()
	return false
}

// markDown starts the probes of a target; the caller holds the mutex.
func (c *Connector) markDown(cause error) {
	if c.down || c.closed {
		return
	}
	c.down = true
	c.cause = cause
	c.scope.Counter("targets-down").Inc(1)
	c.events.Record(recorder.KindTargetDown, c.target, "", cause.Error())
	c.logger.Warn("target is down", "target", c.target, "cause", cause)
	c.onReachable(false)
	c.tasks.Go(c.probe)
}

// probe tries new connections with backoff until one succeeds. Each waits longer for its report than the one before: a
// paused target accepts all of them when it goes on, so that frequent ones would exceed its connection cap.
func (c *Connector) probe() {
	delay, timeout := probeMin, openTimeout
	for {
		jittered := delay/2 + rand.N(delay)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(jittered):
		}
		// The report needs a new connection, because the old ones may be the fault.
		c.dropControl()
		connection, err := c.dial(c.ctx, timeout)
		if err == nil {
			c.setControl(connection)
			c.markUp()
			return
		}
		delay = min(delay*2, probeMax)
		timeout = min(timeout*2, probeTimeoutMax)
	}
}

func (c *Connector) markUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = false
	c.cause = nil
	c.controlFailures = 0
	c.events.Record(recorder.KindTargetUp, c.target, "", "")
	c.logger.Info("target is up", "target", c.target)
	c.onReachable(true)
	c.openAhead()
	c.wake()
}
