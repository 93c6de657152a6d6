package sender

import (
	"errors"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/transporter"
)

// recordExcess counts a reply that exceeded a limit, and logs the first one of a target in each excessLogInterval.
func (s *Sender) recordExcess(target registrar.Target, err error, requestID string) {
	if err == nil {
		return
	}
	var excess *transporter.ExcessError
	if !errors.As(err, &excess) {
		return
	}
	s.scope.Counter("sender-excessive-replies").Inc(1)
	if s.excessLog.due(target.ID, time.Now(), excessLogInterval) {
		s.logger.Warn("reply of target exceeds a limit", "target", target.ID, "address", target.Address, "service", target.Service,
			"id", requestID, "error", excess)
	}
}

// recordLimit records the request limit in a reply. It logs the first one of a target in each limitLogInterval. Only a
// success ends a limit by stating none: failures may come from something in front of the target.
func (s *Sender) recordLimit(target registrar.Target, result transporter.Result, requestID string) {
	if result.RequestLimit != nil || result.Outcome == transporter.Answered && result.Reply.Success() {
		s.throttler.Observe(target.ID, result.RequestLimit)
	}
	if result.RequestLimit == nil {
		return
	}
	s.scope.Counter("sender-limited-replies").Inc(1)
	if s.limitLog.due(target.ID, time.Now(), limitLogInterval) {
		s.logger.Info("target states a request limit", "target", target.ID, "address", target.Address, "service", target.Service,
			"id", requestID, "per-second", *result.RequestLimit)
	}
}

// recordPause counts a reply of a target that wants no requests for a while, and logs the first one of a target in each
// pauseLogInterval.
func (s *Sender) recordPause(target registrar.Target, result transporter.Result, requestID string) {
	s.scope.Counter("sender-pausing-replies").Inc(1)
	if s.pauseLog.due(target.ID, time.Now(), pauseLogInterval) {
		s.logger.Info("target wants no requests for a while", "target", target.ID, "address", target.Address, "service", target.Service,
			"id", requestID, "for", result.PausedFor)
	}
}
