// Package checker counts and records violations of the invariants of the system. The packages of native mode call it
// where they make a decision; relay mode does not use it. A strict checker also ends the process, so that tests and
// long random runs find the fault. The check command of the command line is unrelated: it validates files.
package checker

import (
	"sync/atomic"

	"apricotflow/internal/operator/recorder"
)

// Invariant is the name of a rule that must always hold.
type Invariant string

// Invariants that are checked.
const (
	// OneSnapshot: all replies merged into an answer are from the index version that the query was planned for.
	OneSnapshot Invariant = "one-snapshot"
	// TrueCoverage: the answered and the missing shards of an answer add up to all shards, and no hit is from a missing
	// one.
	TrueCoverage Invariant = "true-coverage"
	// ColdLimit: an owner has no more sub-queries in flight to a target that is not known to be warm than its cold limit.
	ColdLimit Invariant = "cold-limit"
	// SlotLimit: an owner has no more sub-queries in flight to a target than its share of the target's slots.
	SlotLimit Invariant = "slot-limit"
	// NoSubQueryToClosedDomain: no sub-query is sent to a target in a closed failure domain.
	NoSubQueryToClosedDomain Invariant = "domain-closed"
	// NoSubQueryToLeavingTarget: no sub-query is sent to a target that the manifest or the member list shows as leaving.
	NoSubQueryToLeavingTarget Invariant = "target-leaving"
	// ReplyMatchesSubQuery: a reply is used only for the sub-query that it replies to, and in the answer only for the
	// shard of that sub-query.
	ReplyMatchesSubQuery Invariant = "own-answer"
	// NotRunIsTrue: a sub-query or query with the outcome not-run has not run.
	NotRunIsTrue Invariant = "not-run-is-true"
	// AtMostOnce: a non-idempotent sub-query is not sent again if it may have run, and the query of a ticket runs once.
	AtMostOnce Invariant = "at-most-once"
	// GracefulStop: a shutdown cuts off no request of a caller.
	GracefulStop Invariant = "graceful-stop"
	// GenerationRises: no manifest is replaced by one of a lower generation.
	GenerationRises Invariant = "generation-rises"
	// ExtraLoadBounded: hedges and retries stay within the percentage of the needed sub-queries that the manifest
	// allows. One sub-query is needed for each shard of a query's plan.
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
	// Block until the panic has ended the process.
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

// Check returns ok. If ok is false, it also counts and records a violation of the invariant, and a strict checker
// panics.
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
