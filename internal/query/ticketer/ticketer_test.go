package ticketer_test

import (
	"context"
	"errors"
	"fmt"
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
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

const lifetime = time.Minute

type world struct {
	peers map[string]*ticketer.Ticketer
	runs  atomic.Int64
}

func (w *world) Record(recorder.Kind, string, string, string) {}
func (w *world) Check(ok bool, _ checker.Invariant, _, detail string) bool {
	return ok || w.fail(detail)
}
func (w *world) fail(detail string) bool { panic(detail) }

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
	return ticketer.New(instance, incarnation, func() time.Duration { return lifetime }, w, w, w, tally.NoopScope, opts...)
}

func issue(t *testing.T, k *ticketer.Ticketer) encoder.QueryRequest {
	t.Helper()
	reply, err := k.Issue("order")
	assert.NilError(t, err)
	assert.Equal(t, reply.ExpiresInMs, int(lifetime.Milliseconds()))
	return encoder.QueryRequest{QueryClass: "order", Ticket: &reply.Ticket}
}

func unknown(t *testing.T, err error) {
	t.Helper()
	assert.ErrorType(t, err, &ticketer.UnknownError{})
}

// A resend during or after the run must get the same answer and not run the order again.
func TestResendsGetTheAnswerOfTheOnlyRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		k := w.ticketer("i", "1")
		request := issue(t, k)
		var resends sync.WaitGroup
		for range 20 {
			resends.Go(func() {
				a, err := k.Run(t.Context(), *request.Ticket, request, w.count)
				assert.Check(t, err)
				assert.Check(t, string(a.Body) == "answer 1")
			})
		}
		resends.Wait()
		time.Sleep(lifetime - time.Second)
		a, err := k.Run(t.Context(), *request.Ticket, request, w.count)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "answer 1")
		assert.Equal(t, w.runs.Load(), int64(1))
		time.Sleep(2 * time.Second)
		_, err = k.Run(t.Context(), *request.Ticket, request, w.count)
		unknown(t, err)
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// A ticket used for another order must neither run it nor return the answer of the first.
func TestResendWithAnotherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		k := w.ticketer("i", "1")
		request := issue(t, k)
		other, text := request, "other"
		other.Text = &text
		wrongClass := request
		wrongClass.QueryClass = "search"
		_, err := k.Run(t.Context(), *request.Ticket, wrongClass, w.count)
		assert.ErrorType(t, err, &ticketer.ConflictError{})
		_, err = k.Run(t.Context(), *request.Ticket, request, w.count)
		assert.NilError(t, err)
		_, err = k.Run(t.Context(), *request.Ticket, other, w.count)
		assert.ErrorType(t, err, &ticketer.ConflictError{})
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// A caller that disconnects must not stop an order half way, and gets its answer on the resend.
func TestRunOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		k := w.ticketer("i", "1")
		request := issue(t, k)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := k.Run(ctx, *request.Ticket, request, w.count)
		unknown(t, err)
		assert.NilError(t, k.Drain(t.Context()))
		a, err := k.Run(t.Context(), *request.Ticket, request, w.count)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "answer 1")
	})
}

// Any instance must pass the order to the one that issued the ticket; no other may run it, also after a restart or in a partition.
func TestTicketRunsOnlyInTheIncarnationThatIssuedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		issuer, other := w.ticketer("a.b", "1"), w.ticketer("c", "1")
		w.peers = map[string]*ticketer.Ticketer{"a.b": issuer}
		request := issue(t, issuer)
		a, err := other.Run(t.Context(), *request.Ticket, request, w.count)
		assert.NilError(t, err)
		b, err := issuer.Run(t.Context(), *request.Ticket, request, w.count)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), string(b.Body))
		w.peers["a.b"] = w.ticketer("a.b", "2")
		_, err = other.Run(t.Context(), *request.Ticket, request, w.count)
		unknown(t, err)
		delete(w.peers, "a.b")
		// Another instance may have forwarded the same ticket before, so an unreachable issuer does not mean not-run.
		_, err = other.Run(t.Context(), *request.Ticket, request, w.count)
		unknown(t, err)
		_, err = other.RunForwarded(t.Context(), *request.Ticket, request, w.count)
		unknown(t, err)
		assert.Equal(t, w.runs.Load(), int64(1))
	})
}

// Dropping an answer for lack of memory must not allow a second run.
func TestDroppedAnswerIsUnknownAndNeverRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		k := w.ticketer("i", "1", ticketer.WithBounds(10, len("answer 1")))
		first, second := issue(t, k), issue(t, k)
		for _, request := range []encoder.QueryRequest{first, second} {
			_, err := k.Run(t.Context(), *request.Ticket, request, w.count)
			assert.NilError(t, err)
		}
		_, err := k.Run(t.Context(), *first.Ticket, first, w.count)
		unknown(t, err)
		a, err := k.Run(t.Context(), *second.Ticket, second, w.count)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "answer 2")
		assert.Equal(t, w.runs.Load(), int64(2))
	})
}

// A full table must refuse new tickets instead of forgetting old ones, and recover when they expire.
func TestFullTableRefusesNewTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		k := w.ticketer("i", "1", ticketer.WithBounds(2, 1000))
		first := issue(t, k)
		issue(t, k)
		_, err := k.Issue("order")
		assert.ErrorType(t, err, &ticketer.FullError{})
		_, err = k.Run(t.Context(), *first.Ticket, first, w.count)
		assert.NilError(t, err)
		time.Sleep(lifetime)
		issue(t, k)
	})
}

// A panic must answer this order as unknown, and a resend must not run it again.
func TestPanicIsKeptAsTheAnswer(t *testing.T) {
	w := &world{}
	k := w.ticketer("i", "1")
	request := issue(t, k)
	for range 2 {
		a, err := k.Run(t.Context(), *request.Ticket, request, func(context.Context) ticketer.Answer {
			w.runs.Add(1)
			panic("test")
		})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 500)
		assert.Assert(t, strings.Contains(string(a.Body), `"outcome":"unknown"`))
	}
	assert.Equal(t, w.runs.Load(), int64(1))
}

// A ticket that no instance issued did not run and must not be forwarded.
func TestMalformedTicketIsRefused(t *testing.T) {
	w := &world{}
	for _, ticket := range []string{"", "x", "x.y", "..", "a..b"} {
		_, err := w.ticketer("i", "1").Run(t.Context(), ticket, encoder.QueryRequest{}, w.count)
		assert.ErrorType(t, err, &ticketer.MalformedError{})
	}
}
