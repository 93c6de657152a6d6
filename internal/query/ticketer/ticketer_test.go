package ticketer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

const lifetime = time.Minute

type harness struct {
	peers map[string]*ticketer.Ticketer
	runs  atomic.Int64
	// recorders holds the recorder of each ticketer.
	recorders []*recorder.Recorder
}

func (h *harness) RunTicket(ctx context.Context, instance string, request encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
	peer, found := h.peers[instance]
	if !found {
		return encoder.RunTicketReply{}, errors.New("not reachable")
	}
	a, err := peer.RunForwarded(ctx, *request.Request.Ticket, request.Request, h.countRun)
	return encoder.RunTicketReply{Status: a.Status, Body: string(a.Body)}, err
}

// countRun is a query that takes 20 ms and answers with the number of runs so far.
func (h *harness) countRun(ctx context.Context) ticketer.Answer {
	n := h.runs.Add(1)
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		return ticketer.Answer{Status: 500}
	}
	return ticketer.Answer{Status: 200, Body: fmt.Appendf(nil, "answer %d", n)}
}

func (h *harness) ticketer(instance, incarnation string, opts ...ticketer.Option) *ticketer.Ticketer {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	h.recorders = append(h.recorders, events)
	return ticketer.New(instance, incarnation, func() time.Duration { return lifetime }, h, events, checker.New(events, tally.NoopScope.Counter(""), true), tally.NoopScope, opts...)
}

func issue(t *testing.T, tk *ticketer.Ticketer) encoder.QueryRequest {
	t.Helper()
	reply, err := tk.Issue("order")
	assert.NilError(t, err)
	assert.Equal(t, reply.ExpiresInMs, int(lifetime.Milliseconds()))
	return encoder.QueryRequest{QueryClass: "order", Ticket: &reply.Ticket}
}

// send returns the body of the answer, or the type of the error.
func (h *harness) send(t *testing.T, tk *ticketer.Ticketer, request encoder.QueryRequest) string {
	a, err := tk.Run(t.Context(), *request.Ticket, request, h.countRun)
	if err != nil {
		return fmt.Sprintf("%T", err)
	}
	return string(a.Body)
}

const outcomeUnknownError, conflictError = "*ticketer.OutcomeUnknownError", "*ticketer.ConflictError"

// runWithTicketer runs a test of one ticketer under fake time.
func runWithTicketer(t *testing.T, f func(t *testing.T, h *harness, tk *ticketer.Ticketer), opts ...ticketer.Option) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{}
		f(t, h, h.ticketer("i", "1", opts...))
	})
}

// recordedEvents returns the kinds and subjects of the events of all ticketers.
func (h *harness) recordedEvents() []string {
	var kinds []string
	for _, r := range h.recorders {
		events, _ := r.Events(0)
		for _, e := range events {
			kinds = append(kinds, e.Kind+" "+e.Subject)
		}
	}
	return kinds
}

// A resend during or after the run must get the same answer and not run the query again, even after the ticket has
// expired.
func TestResendGetsAnswerOfFirstRun(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, h *harness, tk *ticketer.Ticketer) {
		request := issue(t, tk)
		var resends sync.WaitGroup
		for range 20 {
			resends.Go(func() { assert.Check(t, h.send(t, tk, request) == "answer 1") })
		}
		resends.Wait()
		time.Sleep(lifetime - time.Second)
		assert.Equal(t, h.send(t, tk, request), "answer 1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.send(t, tk, request), outcomeUnknownError)
		issue(t, tk)
		assert.Equal(t, h.send(t, tk, request), outcomeUnknownError)
		assert.Equal(t, h.runs.Load(), int64(1))
	})
}

// A ticket that is reused for another query must neither run it nor return the answer to the first.
func TestResendIsRefusedWhenBodyDiffers(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, h *harness, tk *ticketer.Ticketer) {
		request := issue(t, tk)
		text, wrongClass, otherText := "other", request, request
		wrongClass.QueryClass, otherText.Text = "search", &text
		assert.Equal(t, h.send(t, tk, wrongClass), conflictError)
		assert.Equal(t, h.send(t, tk, request), "answer 1")
		assert.Equal(t, h.send(t, tk, otherText), conflictError)
		assert.Equal(t, h.runs.Load(), int64(1))
	})
}

// A caller that disconnects must not stop a query half way, and must get its answer on the resend.
func TestRunContinuesWhenCallerLeaves(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, h *harness, tk *ticketer.Ticketer) {
		request := issue(t, tk)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := tk.Run(ctx, *request.Ticket, request, h.countRun)
		assert.ErrorType(t, err, &ticketer.OutcomeUnknownError{})
		assert.NilError(t, tk.Drain(t.Context()))
		assert.Equal(t, h.send(t, tk, request), "answer 1")
	})
}

// Any instance must forward the query to the one that issued the ticket. No other may run it, even after a restart of
// the issuer or in a partition.
func TestTicketRunsOnlyInIssuingIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{}
		issuer, other := h.ticketer("a.b", "1"), h.ticketer("c", "1")
		h.peers = map[string]*ticketer.Ticketer{"a.b": issuer}
		request := issue(t, issuer)
		assert.Equal(t, h.send(t, other, request), "answer 1")
		assert.Equal(t, h.send(t, issuer, request), "answer 1")
		// Forwarding is normal work and records no event; an unknown outcome must be recorded.
		assert.Equal(t, len(h.recordedEvents()), 0)
		h.peers["a.b"] = h.ticketer("a.b", "2")
		assert.Equal(t, h.send(t, other, request), outcomeUnknownError)
		// Another instance may have forwarded the same ticket before, so an unreachable issuer does not mean not-run.
		delete(h.peers, "a.b")
		assert.Equal(t, h.send(t, other, request), outcomeUnknownError)
		// Within one second, the recorder keeps two events of the kind.
		time.Sleep(time.Second)
		_, err := other.RunForwarded(t.Context(), *request.Ticket, request, h.countRun)
		assert.ErrorType(t, err, &ticketer.OutcomeUnknownError{})
		assert.DeepEqual(t, h.recordedEvents(), slices.Repeat([]string{"ticket-unknown a.b"}, 4))
		assert.Equal(t, h.runs.Load(), int64(1))
	})
}

// Dropping an answer to save memory must not allow a second run.
func TestTicketDoesNotRunAgainWhenAnswerWasDropped(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, h *harness, tk *ticketer.Ticketer) {
		first, second := issue(t, tk), issue(t, tk)
		assert.Equal(t, h.send(t, tk, first), "answer 1")
		assert.Equal(t, h.send(t, tk, second), "answer 2")
		assert.Equal(t, h.send(t, tk, first), outcomeUnknownError)
		assert.Equal(t, h.send(t, tk, second), "answer 2")
	}, ticketer.WithLimits(10, len("answer 1")))
}

// A full table must refuse new tickets instead of dropping old ones, and accept new ones once old ones expire.
func TestIssueIsRefusedWhenTableIsFull(t *testing.T) {
	runWithTicketer(t, func(t *testing.T, h *harness, tk *ticketer.Ticketer) {
		first := issue(t, tk)
		issue(t, tk)
		_, err := tk.Issue("order")
		assert.ErrorType(t, err, &ticketer.TableFullError{})
		assert.Equal(t, h.send(t, tk, first), "answer 1")
		time.Sleep(lifetime)
		issue(t, tk)
	}, ticketer.WithLimits(2, 1000))
}

// A panic must answer the query as unknown, and a resend must not run it again.
func TestAnswerIsUnknownWhenRunPanics(t *testing.T) {
	h := &harness{}
	tk := h.ticketer("i", "1")
	request := issue(t, tk)
	a, err := tk.Run(t.Context(), *request.Ticket, request, func(context.Context) ticketer.Answer { panic("test") })
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 500)
	assert.Assert(t, strings.Contains(string(a.Body), `"outcome":"unknown"`))
	assert.Equal(t, h.send(t, tk, request), string(a.Body))
}

// A malformed ticket, which no instance issued, must be refused without running or forwarding the query.
func TestRunIsRefusedWhenTicketIsMalformed(t *testing.T) {
	h := &harness{}
	for _, ticket := range []string{"", "x", "x.y", "..", "a..b"} {
		assert.Equal(t, h.send(t, h.ticketer("i", "1"), encoder.QueryRequest{Ticket: &ticket}), "*ticketer.MalformedError")
	}
}
