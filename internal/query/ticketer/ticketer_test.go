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

type world struct {
	peers map[string]*ticketer.Ticketer
	runs  atomic.Int64
	// events holds the recorder of each ticketer.
	events []*recorder.Recorder
}

func (w *world) RunTicket(ctx context.Context, instance string, request encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
	peer, found := w.peers[instance]
	if !found {
		return encoder.RunTicketReply{}, errors.New("not reachable")
	}
	a, err := peer.RunForwarded(ctx, *request.Request.Ticket, request.Request, w.count)
	return encoder.RunTicketReply{Status: a.Status, Body: string(a.Body)}, err
}

// count is a query that takes 20 ms and tells how many have run.
func (w *world) count(ctx context.Context) ticketer.Answer {
	n := w.runs.Add(1)
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		return ticketer.Answer{Status: 500}
	}
	return ticketer.Answer{Status: 200, Body: fmt.Appendf(nil, "answer %d", n)}
}

func (w *world) ticketer(instance, incarnation string, opts ...ticketer.Option) *ticketer.Ticketer {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	w.events = append(w.events, events)
	return ticketer.New(instance, incarnation, func() time.Duration { return lifetime }, w, events, checker.New(events, tally.NoopScope.Counter(""), true), tally.NoopScope, opts...)
}

func issue(t *testing.T, k *ticketer.Ticketer) encoder.QueryRequest {
	t.Helper()
	reply, err := k.Issue("order")
	assert.NilError(t, err)
	assert.Equal(t, reply.ExpiresInMs, int(lifetime.Milliseconds()))
	return encoder.QueryRequest{QueryClass: "order", Ticket: &reply.Ticket}
}

// send returns the answer, or the type of the error.
func (w *world) send(t *testing.T, k *ticketer.Ticketer, request encoder.QueryRequest) string {
	a, err := k.Run(t.Context(), *request.Ticket, request, w.count)
	if err != nil {
		return fmt.Sprintf("%T", err)
	}
	return string(a.Body)
}

const unknown, conflict = "*ticketer.UnknownError", "*ticketer.ConflictError"

// bubble runs a test of one ticketer under fake time.
func bubble(t *testing.T, f func(t *testing.T, w *world, k *ticketer.Ticketer), opts ...ticketer.Option) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		f(t, w, w.ticketer("i", "1", opts...))
	})
}

// recorded returns the kinds and subjects of the events of all ticketers.
func (w *world) recorded() []string {
	var kinds []string
	for _, r := range w.events {
		events, _ := r.Events(0)
		for _, e := range events {
			kinds = append(kinds, e.Kind+" "+e.Subject)
		}
	}
	return kinds
}

// A resend during or after the run must get the same answer and not run the order again, not even after the expiry.
func TestResendsGetTheAnswerOfTheOnlyRun(t *testing.T) {
	bubble(t, func(t *testing.T, w *world, k *ticketer.Ticketer) {
		request := issue(t, k)
		var resends sync.WaitGroup
		for range 20 {
			resends.Go(func() { assert.Check(t, w.send(t, k, request) == "answer 1") })
		}
		resends.Wait()
		time.Sleep(lifetime - time.Second)
		assert.Equal(t, w.send(t, k, request), "answer 1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.send(t, k, request), unknown)
		issue(t, k)
		assert.Equal(t, w.send(t, k, request), unknown)
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// A ticket used for another order must neither run it nor return the answer of the first.
func TestResendWithAnotherBodyIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T, w *world, k *ticketer.Ticketer) {
		request := issue(t, k)
		text, wrongClass, otherText := "other", request, request
		wrongClass.QueryClass, otherText.Text = "search", &text
		assert.Equal(t, w.send(t, k, wrongClass), conflict)
		assert.Equal(t, w.send(t, k, request), "answer 1")
		assert.Equal(t, w.send(t, k, otherText), conflict)
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// A caller that disconnects must not stop an order half way, and gets its answer on the resend.
func TestRunOutlivesItsCaller(t *testing.T) {
	bubble(t, func(t *testing.T, w *world, k *ticketer.Ticketer) {
		request := issue(t, k)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := k.Run(ctx, *request.Ticket, request, w.count)
		assert.ErrorType(t, err, &ticketer.UnknownError{})
		assert.NilError(t, k.Drain(t.Context()))
		assert.Equal(t, w.send(t, k, request), "answer 1")
	})
}

// Any instance must pass the order to the one that issued the ticket; no other may run it, also after a restart or in a partition.
func TestTicketRunsOnlyInTheIncarnationThatIssuedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		issuer, other := w.ticketer("a.b", "1"), w.ticketer("c", "1")
		w.peers = map[string]*ticketer.Ticketer{"a.b": issuer}
		request := issue(t, issuer)
		assert.Equal(t, w.send(t, other, request), "answer 1")
		assert.Equal(t, w.send(t, issuer, request), "answer 1")
		// Forwarding is normal work, which leaves no events; the loss of an outcome must be visible.
		assert.Equal(t, len(w.recorded()), 0)
		w.peers["a.b"] = w.ticketer("a.b", "2")
		assert.Equal(t, w.send(t, other, request), unknown)
		// Another instance may have forwarded the same ticket before, so an unreachable issuer does not mean not-run.
		delete(w.peers, "a.b")
		assert.Equal(t, w.send(t, other, request), unknown)
		// Within one second, the recorder keeps two events of the kind.
		time.Sleep(time.Second)
		_, err := other.RunForwarded(t.Context(), *request.Ticket, request, w.count)
		assert.ErrorType(t, err, &ticketer.UnknownError{})
		assert.DeepEqual(t, w.recorded(), slices.Repeat([]string{"ticket-unknown a.b"}, 4))
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// Dropping an answer for lack of memory must not allow a second run.
func TestDroppedAnswerIsUnknownAndNeverRunsAgain(t *testing.T) {
	bubble(t, func(t *testing.T, w *world, k *ticketer.Ticketer) {
		first, second := issue(t, k), issue(t, k)
		assert.Equal(t, w.send(t, k, first), "answer 1")
		assert.Equal(t, w.send(t, k, second), "answer 2")
		assert.Equal(t, w.send(t, k, first), unknown)
		assert.Equal(t, w.send(t, k, second), "answer 2")
	}, ticketer.WithBounds(10, len("answer 1")))
}

// A full table must refuse new tickets instead of forgetting old ones, and recover when they expire.
func TestFullTableRefusesNewTickets(t *testing.T) {
	bubble(t, func(t *testing.T, w *world, k *ticketer.Ticketer) {
		first := issue(t, k)
		issue(t, k)
		_, err := k.Issue("order")
		assert.ErrorType(t, err, &ticketer.FullError{})
		assert.Equal(t, w.send(t, k, first), "answer 1")
		time.Sleep(lifetime)
		issue(t, k)
	}, ticketer.WithBounds(2, 1000))
}

// A panic must answer this order as unknown, and a resend must not run it again.
func TestPanicIsKeptAsTheAnswer(t *testing.T) {
	w := &world{}
	k := w.ticketer("i", "1")
	request := issue(t, k)
	a, err := k.Run(t.Context(), *request.Ticket, request, func(context.Context) ticketer.Answer { panic("test") })
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 500)
	assert.Assert(t, strings.Contains(string(a.Body), `"outcome":"unknown"`))
	assert.Equal(t, w.send(t, k, request), string(a.Body))
}

// A ticket that no instance issued did not run and must not be forwarded.
func TestMalformedTicketIsRefused(t *testing.T) {
	w := &world{}
	for _, ticket := range []string{"", "x", "x.y", "..", "a..b"} {
		assert.Equal(t, w.send(t, w.ticketer("i", "1"), encoder.QueryRequest{Ticket: &ticket}), "*ticketer.MalformedError")
	}
}
