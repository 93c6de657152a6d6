package responder_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

func startTarget(t *testing.T, change func(*responder.Settings)) *responder.Responder {
	t.Helper()
	s := responder.Settings{
		Name: "a1", Address: "127.0.0.1:0", Control: "127.0.0.1:0", Slots: 2, Connections: 4, ColdLimit: 1,
		Versions: []encoder.HeldVersion{{Index: "jobs", Version: 1}},
	}
	change(&s)
	r, err := responder.Start(s)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func newSubQuery(attempt string) encoder.SubQuery {
	return encoder.SubQuery{
		Attempt: attempt, Target: "a1", Index: "jobs", Version: 1, Shard: "s1", Text: "wedding menu", Limit: 3,
		Idempotent: true, DeadlineMs: 5000,
	}
}

func execute(t *testing.T, r *responder.Responder, q encoder.SubQuery) encoder.SubReply {
	t.Helper()
	reply, err := replier.Post[encoder.SubReply](t.Context(), "http://"+r.Address()+"/v1/execute", q)
	if err != nil {
		// The reply to a shed sub-query has status 503 and a SubReply as its body.
		var status *replier.StatusError
		assert.Assert(t, errors.As(err, &status), "%v", err)
		assert.Equal(t, status.Status, http.StatusServiceUnavailable)
		reply, err = encoder.Decode[encoder.SubReply]([]byte(status.Body))
		assert.NilError(t, err)
	}
	assert.Equal(t, reply.Attempt, q.Attempt)
	return reply
}

func hasInFlight(r *responder.Responder, n int) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if r.Statistics().InFlight == n {
			return poll.Success()
		}
		return poll.Continue("in flight: %d", r.Statistics().InFlight)
	}
}

// Guards against replies that a test cannot recompute with package hasher.
func TestExecuteAnswersWithDerivedHits(t *testing.T) {
	r := startTarget(t, func(*responder.Settings) {})
	reply := execute(t, r, newSubQuery("x.1"))
	assert.Equal(t, reply.Outcome, encoder.OutcomeAnswered)
	assert.DeepEqual(t, reply.Hits, hasher.Hits("jobs", 1, "s1", "wedding menu", 3))
	assert.Equal(t, reply.Documents, hasher.DocumentCount("jobs", 1, "s1"))
}

// Guards against sub-queries that run although they are refused, and against refusals with a wrong reason.
func TestExecuteDoesNotRunRefusedSubQueries(t *testing.T) {
	r := startTarget(t, func(*responder.Settings) {})
	expired, otherVersion, otherTarget := newSubQuery("x.1"), newSubQuery("x.2"), newSubQuery("x.3")
	expired.DeadlineMs, otherVersion.Version, otherTarget.Target = 0, 2, "b1"
	assert.Equal(t, execute(t, r, expired).Reason, encoder.ReasonDeadlineExceeded)
	assert.Equal(t, execute(t, r, otherVersion).Reason, encoder.ReasonVersionMissing)
	assert.Equal(t, execute(t, r, otherTarget).Reason, encoder.ReasonMismatch)
	r.Control(responder.Control{Drain: true})
	refused := execute(t, r, newSubQuery("x.4"))
	assert.Equal(t, refused.Reason, encoder.ReasonDraining)
	assert.Equal(t, refused.Outcome, encoder.OutcomeNotRun)
	assert.Equal(t, refused.State, encoder.LoadStateDraining)
	assert.Equal(t, r.Statistics().Executed, 0)
	r.Control(responder.Control{Undrain: true})
	assert.Equal(t, execute(t, r, newSubQuery("x.5")).Outcome, encoder.OutcomeAnswered)
}

// Guards against a target that runs more sub-queries than it has slots, or doesn't count those it sheds.
func TestExecuteShedsWhenSlotsAreInUse(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.Slots, s.ServiceTime = 1, time.Minute })
	go func() { _, _ = post(t.Context(), r, newSubQuery("x.1")) }()
	poll.WaitOn(t, hasInFlight(r, 1))
	assert.Equal(t, execute(t, r, newSubQuery("x.2")).Reason, encoder.ReasonShed)
	assert.Equal(t, r.Statistics().Shed, 1)
	assert.Equal(t, r.Statistics().OverSlots, 1)
}

// Guards against a cold target that doesn't count sub-queries above its cold limit, or doesn't become slow from them.
func TestExecuteCountsColdOverloadAndSlowsDown(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.WarmUpAnswers, s.ServiceTime = 3, 100*time.Millisecond })
	go func() { _, _ = post(t.Context(), r, newSubQuery("x.1")) }()
	poll.WaitOn(t, hasInFlight(r, 1))
	began := time.Now()
	assert.Equal(t, execute(t, r, newSubQuery("x.2")).State, encoder.LoadStateCold)
	assert.Assert(t, time.Since(began) > 500*time.Millisecond, "an overloaded cold target must be slow")
	assert.Equal(t, r.Statistics().ColdOverload, 1)
}

// Guards against counting an overload against senders that could not know that the target is cold, and against excusing
// senders after a reply has shown it.
func TestExecuteCountsOverloadSeparatelyBeforeColdStateIsAnnounced(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.ServiceTime, s.Slots = 20*time.Millisecond, 3 })
	cold := true
	r.Control(responder.Control{Cold: &cold})
	for i, want := range [][2]int{{0, 1}, {1, 1}} {
		go func() { _, _ = post(t.Context(), r, newSubQuery(fmt.Sprintf("x.%d", 2*i))) }()
		poll.WaitOn(t, hasInFlight(r, 1), poll.WithDelay(time.Millisecond))
		execute(t, r, newSubQuery(fmt.Sprintf("x.%d", 2*i+1)))
		poll.WaitOn(t, hasInFlight(r, 0), poll.WithDelay(time.Millisecond))
		got := r.Statistics()
		assert.Equal(t, [2]int{got.ColdOverload, got.ColdUnannounced}, want)
	}
}

// Guards against a target that becomes warm too early or never, or that stays warm when it is made cold again.
func TestTargetWarmsUpAfterConfiguredAnswers(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.WarmUpAnswers = 2 })
	assert.Equal(t, execute(t, r, newSubQuery("x.1")).State, encoder.LoadStateCold)
	assert.Equal(t, execute(t, r, newSubQuery("x.2")).State, encoder.LoadStateWarm)
	cold := true
	r.Control(responder.Control{Cold: &cold})
	assert.Equal(t, execute(t, r, newSubQuery("x.3")).State, encoder.LoadStateCold)
}

// Guards against a cancelled attempt that keeps its slot or gets no reply.
func TestCancelEndsRunningAttempt(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.ServiceTime = time.Minute })
	replies := make(chan encoder.SubReply, 1)
	go func() {
		reply, _ := post(t.Context(), r, newSubQuery("x.1"))
		replies <- reply
	}()
	poll.WaitOn(t, hasInFlight(r, 1))
	_, err := replier.Post[any](t.Context(), "http://"+r.Address()+"/v1/cancel", encoder.CancelRequest{Attempts: []string{"x.1"}})
	assert.NilError(t, err)
	reply := <-replies
	assert.Equal(t, reply.Reason, encoder.ReasonCancelled)
	assert.Equal(t, reply.Outcome, encoder.OutcomeUnknown)
	assert.Equal(t, r.Statistics().InFlight, 0)
}

// Guards against connections above the limit that are accepted or not counted.
func TestListenerResetsConnectionsAboveLimit(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.Connections = 1 })
	first, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	defer func() { _ = first.Close() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Statistics().ConnectionsMax == 1 {
			return poll.Success()
		}
		return poll.Continue("connection not accepted yet")
	})
	_, err = replier.Get[encoder.TargetReport](t.Context(), "http://"+r.Address()+"/v1/report")
	assert.Assert(t, err != nil)
	assert.Equal(t, r.Statistics().ConnectionsRefused, 1)
}

// Guards against repeated runs that are missing from the statistics.
func TestStatisticsCountRepeatedRuns(t *testing.T) {
	r := startTarget(t, func(*responder.Settings) {})
	q := newSubQuery("x.1")
	q.Idempotent = false
	execute(t, r, q)
	execute(t, r, q)
	s := r.Statistics()
	assert.DeepEqual(t, s.NonIdempotentRuns, map[string]int{"wedding menu": 2})
	assert.DeepEqual(t, s.RepeatedAttempts, map[string]int{"x.1": 2})
	assert.Assert(t, s.LastExecuteMs >= 0)
}

// Guards against reports that show the current state in spite of the configured lag; senders would then never be tested
// with outdated reports.
func TestReportShowsStateBeforeReportLag(t *testing.T) {
	r := startTarget(t, func(s *responder.Settings) { s.ReportLag = time.Minute })
	r.Control(responder.Control{Drain: true})
	report, err := replier.Get[encoder.TargetReport](t.Context(), "http://"+r.Address()+"/v1/report")
	assert.NilError(t, err)
	assert.Equal(t, report.State, encoder.LoadStateWarm)
}

// Guards against a hang that also affects new connections, or that leaves open connections working.
func TestHangSilencesOpenConnectionsOnly(t *testing.T) {
	r := startTarget(t, func(*responder.Settings) {})
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}
	get := func() error {
		response, err := client.Get("http://" + r.Address() + "/v1/report")
		if err == nil {
			_, err = new(bytes.Buffer).ReadFrom(response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	assert.NilError(t, get())
	r.Control(responder.Control{Hang: responder.HangOpenConnections})
	assert.Assert(t, get() != nil)
	assert.NilError(t, get(), "a request on a new connection must succeed")
}

func post(ctx context.Context, r *responder.Responder, q encoder.SubQuery) (encoder.SubReply, error) {
	return replier.Post[encoder.SubReply](ctx, "http://"+r.Address()+"/v1/execute", q)
}
