package connector

import (
	"math/rand/v2"
	"time"

	"apricotflow/internal/operator/recorder"
)

// dropSilentConnections drops the idle connections and the control connection, and cancels the attempt on a new control
// connection. It reports whether the attempt was cancelled; if not, the target is marked as down.
func (c *Connector) dropSilentConnections(attempt string) bool {
	c.scope.Counter("target-connections-silent").Inc(1)
	c.events.Record(recorder.KindConnectionSilent, c.target, "", "attempt "+attempt)
	c.dropIdle()
	c.dropControl()
	var err error
	for range maxConnectFailures {
		if err = c.Cancel(c.ctx, []string{attempt}); err == nil {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markDown(err)
	c.wakeWaiters()
	return false
}

// markDown marks the target as down and starts to probe it. c.mu must be held.
func (c *Connector) markDown(downCause error) {
	if c.down || c.closed {
		return
	}
	c.down = true
	c.downCause = downCause
	c.scope.Counter("targets-down").Inc(1)
	c.events.Record(recorder.KindTargetDown, c.target, "", downCause.Error())
	c.logger.Warn("target is down", "target", c.target, "cause", downCause)
	c.onUpChange(false)
	c.tasks.Go(c.probe)
}

// probe opens new connections with backoff until one succeeds, and then marks the target as up. Each probe waits longer
// for its report than the one before, up to probeTimeoutMax: a paused target accepts all connections when it resumes,
// so frequent probes would exceed its connection limit.
func (c *Connector) probe() {
	delay, timeout := probeDelayMin, openTimeout
	for {
		jittered := delay/2 + rand.N(delay)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(jittered):
		}
		// The report needs a new connection, because the old ones may be the cause of the failure.
		c.dropControl()
		connection, err := c.dial(c.ctx, timeout)
		if err == nil {
			c.setControl(connection)
			c.markUp()
			return
		}
		delay = min(delay*2, probeDelayMax)
		timeout = min(timeout*2, probeTimeoutMax)
	}
}

func (c *Connector) markUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = false
	c.downCause = nil
	c.controlFailures = 0
	c.events.Record(recorder.KindTargetUp, c.target, "", "")
	c.logger.Info("target is up", "target", c.target)
	c.onUpChange(true)
	c.openIfNoneIdle()
	c.wakeWaiters()
}
