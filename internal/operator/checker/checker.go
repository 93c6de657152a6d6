// Package checker checks the invariants of the system at the place where a decision is made.
package checker

import (
	"sync/atomic"

	"apricotflow/internal/operator/recorder"
)

// Invariant names a rule that must always hold.
type Invariant string

// Invariants.
const (
	OneSnapshot      Invariant = "one-snapshot"
	TrueCoverage     Invariant = "true-coverage"
	ColdLimit        Invariant = "cold-limit"
	SlotLimit        Invariant = "slot-limit"
	DomainClosed     Invariant = "domain-closed"
	TargetLeaving    Invariant = "target-leaving"
	OwnAnswer        Invariant = "own-answer"
	NotRunIsTrue     Invariant = "not-run-is-true"
	AtMostOnce       Invariant = "at-most-once"
	GracefulStop     Invariant = "graceful-stop"
	GenerationRises  Invariant = "generation-rises"
	ExtraLoadBounded Invariant = "extra-load-bounded"
)

// Events records a violation.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Counter counts violations.
type Counter interface {
	Inc(delta int64)
}

// ViolationError is the value that a strict checker panics with.
type ViolationError struct {
	Invariant Invariant
	Subject   string
	Detail    string
}

func (v *ViolationError) Error() string {
	return "checker: " + string(v.Invariant) + " violated for " + v.Subject + ": " + v.Detail
}

// Rethrow ends the process if the recovered value is a violation. Code that contains panics calls it first; the
// panic is raised in a goroutine of its own, because net/http recovers from those of its handlers.
func Rethrow(recovered any) {
	violation, ok := recovered.(*ViolationError)
	if !ok {
		return
	}
	go panic(violation)
	select {}
}

// Checker counts and records violations, and panics on one when it is strict.
type Checker struct {
	events     Events
	counter    Counter
	strict     bool
	violations atomic.Int64
}

// New creates a checker; a strict one panics on a violation, for tests and long random runs.
func New(events Events, counter Counter, strict bool) *Checker {
	return &Checker{events: events, counter: counter, strict: strict}
}

// Check returns ok and treats false as a violation of the invariant.
func (c *Checker) Check(ok bool, invariant Invariant, subject, detail string) bool {
	if ok {
		return true
	}
	c.violations.Add(1)
	c.counter.Inc(1)
	c.events.Record(recorder.KindInvariantViolated, subject, "", string(invariant)+": "+detail)
	if c.strict {
		panic(&ViolationError{Invariant: invariant, Subject: subject, Detail: detail})
	}
	return false
}

// Violations returns the number of violations so far.
func (c *Checker) Violations() int64 {
	return c.violations.Load()
}
