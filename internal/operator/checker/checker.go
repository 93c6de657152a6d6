// Package checker counts and records violations of the invariants of the system. All parts of an instance call it where
// they make a decision. A strict checker also ends the process, so that tests and long random runs find the fault.
package checker

import (
	"sync/atomic"

	"apricotflow/internal/operator/recorder"
)

// Invariant is the name of a rule that must always hold.
type Invariant string

// Invariants that are checked.
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

// Events records events.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Counter counts violations.
type Counter interface {
	Inc(delta int64)
}

// ViolationError is the panic value of a strict checker.
type ViolationError struct {
	Invariant Invariant
	Subject   string
	Detail    string
}

func (v *ViolationError) Error() string {
	return "checker: " + string(v.Invariant) + " violated for " + v.Subject + ": " + v.Detail
}

// RepanicViolation ends the process if the recovered value is a violation. Code that recovers from panics must call it
// first. It panics in a goroutine of its own, because net/http recovers from panics in its handlers.
func RepanicViolation(recovered any) {
	violation, ok := recovered.(*ViolationError)
	if !ok {
		return
	}
	go panic(violation)
	select {}
}

// Checker counts and records violations. It panics on a violation if it is strict.
type Checker struct {
	events     Events
	counter    Counter
	strict     bool
	violations atomic.Int64
}

// New creates a checker. A strict one panics on a violation, for tests and long random runs.
func New(events Events, counter Counter, strict bool) *Checker {
	return &Checker{events: events, counter: counter, strict: strict}
}

// Check returns ok. If ok is false, it counts and records a violation of the invariant.
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
