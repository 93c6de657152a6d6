package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/operator/commander"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	settingsJSON = `{"instance": "a", "failure-domain": "west", "caller-address": "127.0.0.1:7001",
 "peer-address": "127.0.0.1:7101", "admin-address": "127.0.0.1:7201", "platform-address": "127.0.0.1:7900"}`
	manifestJSON = `{"generation": 7, "deployment": "test", "failure-domains": [{"name": "west", "region": "r", "state": "open"}],
 "services": [{"name": "s", "targets": [{"name": "t1", "address": "127.0.0.1:1001", "failure-domain": "west", "state": "serving", "slots": 2, "connections": 25, "cold-limit": 1}]}],
 "indexes": [{"name": "x", "versions": [{"version": 4, "shards": [{"name": "s1", "documents": 10, "replicas": ["t1"]}]}]}],
 "query-classes": [{"name": "q", "index": "x", "priority": "urgent", "idempotent": true, "routing": "all", "deadline-ms": 500}],
 "limits": {"extra-load-percent": 2, "hedge-quantile-percent": 95, "owners": 2, "lease-ms": 3000, "ticket-ms": 60000}}`
)

type result struct {
	code        commander.ExitCode
	out, errOut string
}

func runCommand(serve commander.Serve, arguments ...string) result {
	var out, errOut bytes.Buffer
	code := commander.Run(context.Background(), append([]string{"apricotflow"}, arguments...), &out, &errOut, serve)
	return result{code: commander.ExitCode(code), out: out.String(), errOut: errOut.String()}
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	assert.NilError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// Guards against a check that passes an invalid file, which would then be published, and against one that stops at the
// first problem, which would take many runs to fix a file.
func TestCheckReportsEveryProblem(t *testing.T) {
	settings, manifest := writeFile(t, settingsJSON), writeFile(t, manifestJSON)
	older := writeFile(t, strings.Replace(manifestJSON, `"generation": 7`, `"generation": 6`, 1))
	invalid := writeFile(t, strings.NewReplacer(`"slots": 2`, `"slots": 0`, `"index": "x"`, `"index": "y"`).Replace(manifestJSON))
	otherDomain := writeFile(t, strings.Replace(settingsJSON, `west`, `east`, 1))
	cases := []struct {
		name      string
		arguments []string
		code      commander.ExitCode
		errors    []string
	}{
		{"valid files", []string{"--settings", settings, "--manifest", manifest, "--previous", older}, commander.ExitSuccess, nil},
		{"generation goes down", []string{"--manifest", older, "--previous", manifest}, commander.ExitInvalid, []string{older + ": $.generation: "}},
		{"faulty manifest", []string{"--manifest", invalid}, commander.ExitInvalid, []string{"$.services[0].targets[0].slots", "$.query-classes[0].index"}},
		{"faults in two files", []string{"--settings", manifest, "--manifest", invalid}, commander.ExitInvalid, []string{"$.caller-address", "$.query-classes[0].index"}},
		{"unknown failure domain", []string{"--settings", otherDomain, "--manifest", manifest}, commander.ExitInvalid, []string{otherDomain + ": $.failure-domain"}},
		{"missing file", []string{"--manifest", "does-not-exist.json"}, commander.ExitFailed, []string{"does-not-exist.json"}},
		{"no file", nil, commander.ExitUsage, []string{"--manifest"}},
		{"previous alone", []string{"--previous", manifest, "--settings", settings}, commander.ExitUsage, []string{"--manifest"}},
		{"unknown flag", []string{"--manifests", manifest}, commander.ExitUsage, []string{"manifests"}},
		{"positional argument", []string{manifest}, commander.ExitUsage, []string{"unexpected argument"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand(nil, append([]string{"check"}, c.arguments...)...)
			assert.Equal(t, r.code, c.code, "%s", r.errOut)
			for _, text := range c.errors {
				assert.Assert(t, strings.Contains(r.errOut, text), "%s", r.errOut)
			}
		})
	}
}

// Guards against example files that are no longer valid; users start from them.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.json")
	assert.NilError(t, err)
	first, err := filepath.Glob("../../../examples/first/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 3 && len(first) >= 4)
	for _, name := range append(files, first...) {
		raw, err := os.ReadFile(name)
		assert.NilError(t, err)
		if bytes.Contains(raw, []byte(`"revision"`)) {
			_, err := parser.ParseMembers(raw)
			assert.NilError(t, err)
			continue
		}
		flag := "--settings"
		if bytes.Contains(raw, []byte(`"generation"`)) {
			flag = "--manifest"
		}
		r := runCommand(nil, "check", flag, name)
		assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.errOut)
	}
}

// Guards against an instance that starts with invalid settings, and against a failure of the instance that is not
// reported by the exit code.
func TestServeExitCodeTellsInvalidSettingsFromFailedInstance(t *testing.T) {
	var started []string
	serve := func(_ context.Context, s loader.Settings) error {
		started = append(started, s.Instance())
		return errors.New("port in use")
	}
	r := runCommand(serve, "serve", "--settings", writeFile(t, settingsJSON))
	assert.Equal(t, r.code, commander.ExitFailed)
	assert.Assert(t, strings.Contains(r.errOut, "port in use"))
	r = runCommand(serve, "serve", "--settings", writeFile(t, `{}`))
	assert.Equal(t, r.code, commander.ExitInvalid)
	assert.Assert(t, strings.Contains(r.errOut, "$.instance: is required"))
	assert.DeepEqual(t, started, []string{"a"})
}

// Guards against a command without a description or an example in its help.
func TestHelpDescribesEveryCommand(t *testing.T) {
	commands := []string{"serve", "check", "query", "status", "timeline", "version"}
	r := runCommand(nil, "--help")
	for _, name := range commands {
		assert.Assert(t, strings.Contains(r.out, "\n   "+name+" "))
		help := runCommand(nil, name, "--help")
		assert.Equal(t, help.code, commander.ExitSuccess)
		assert.Assert(t, strings.Contains(help.out, "DESCRIPTION"), name)
		assert.Assert(t, strings.Contains(help.out, "Example"), name)
		assert.Assert(t, strings.Contains(help.out, "apricotflow "+name), name)
	}
	assert.Assert(t, strings.Contains(r.out, "Exit codes"))
	assert.Equal(t, runCommand(nil, "unknown").code, commander.ExitUsage)
}

// fakeCallerAPI is the caller API of an instance. It serves a non-idempotent query class, which needs tickets.
type fakeCallerAPI struct {
	tickets, queries atomic.Int32
	outcome          encoder.QueryOutcome
}

func (a *fakeCallerAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/tickets" {
		a.tickets.Add(1)
		_, _ = w.Write(encoder.Encode(encoder.TicketReply{Ticket: "ticket-1", ExpiresInMs: 1000}))
		return
	}
	a.queries.Add(1)
	var request encoder.QueryRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Ticket == nil {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write(encoder.Encode(encoder.ErrorReply{Code: "ticket-required", Message: "take a ticket", Outcome: "not-run"}))
		return
	}
	if a.outcome == encoder.QueryOutcomeUnknown {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoder.Encode(encoder.QueryReply{
		Query: "a.1.1", Instance: "a", Outcome: a.outcome, Snapshot: encoder.Snapshot{Generation: 7, Index: "x", Version: 4},
		Coverage: encoder.Coverage{Shards: 2, ShardsAnswered: 1, Documents: 20, DocumentsAnswered: 5},
		Hits:     []encoder.Hit{{Document: "doc\x1b[2J", Score: 1, Shard: "s1"}},
		Missing:  []encoder.MissingShard{{Shard: "s2", Outcome: "not-run", Reason: "target-down"}},
	}))
}

// Guards against an exit code or output that contradicts the outcome. For example, a query that is reported as not-run
// but did run would be sent again, and an order placed twice.
func TestQueryReportsOutcome(t *testing.T) {
	cases := []struct {
		name    string
		outcome encoder.QueryOutcome
		code    commander.ExitCode
		texts   []string
	}{
		{"complete", "complete", commander.ExitSuccess, []string{"outcome   complete", "generation 7", "25.0 %"}},
		{"partial", "partial", commander.ExitIncomplete, []string{"1 of 2 shards", "shard s2: not-run, target-down"}},
		{"reply lost", "unknown", commander.ExitOutcomeUnknown, []string{"--ticket ticket-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			api := &fakeCallerAPI{outcome: c.outcome}
			s := httptest.NewServer(api)
			defer s.Close()
			r := runCommand(nil, "query", "--address", s.Listener.Addr().String(), "--class", "q", "--text", "x")
			assert.Equal(t, r.code, c.code, "%s", r.errOut)
			assert.Equal(t, api.tickets.Load(), int32(1))
			assert.Equal(t, api.queries.Load(), int32(2))
			for _, text := range c.texts {
				assert.Assert(t, strings.Contains(r.out+r.errOut, text), "%s%s", r.out, r.errOut)
			}
			assert.Assert(t, !strings.Contains(r.out, "\x1b"))
		})
	}
	s := httptest.NewServer(&fakeCallerAPI{})
	address := s.Listener.Addr().String()
	s.Close()
	assert.Equal(t, runCommand(nil, "query", "--address", address, "--class", "q").code, commander.ExitNotRun)
	assert.Equal(t, runCommand(nil, "query", "--address", "localhost:1", "--class", "q").code, commander.ExitUsage)
}

type fakeTotals map[string]int

func (t fakeTotals) Counters() map[string]int { return t }
func (fakeTotals) Gauges() map[string]float64 { return nil }

// startInstance serves the admin API of an instance and returns its address and the recorder of its events.
func startInstance(t *testing.T, name string, generation int, counters fakeTotals, targets ...encoder.TargetStatus) (string, *recorder.Recorder) {
	t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	r := recorder.New(name, clock, 100)
	s := server.New(server.Identity{Instance: name, FailureDomain: "west"}, r, counters, clock,
		server.WithReady(func() bool { return true }),
		server.WithConfiguration(func() server.Configuration {
			return server.Configuration{Generation: generation, Digest: "d", Age: 90 * time.Second}
		}),
		server.WithTargets(func() []encoder.TargetStatus { return targets }))
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.Close)
	return api.Listener.Addr().String(), r
}

// Guards against an unhealthy deployment whose status output does not give the reason.
func TestStatusShowsWhyDeploymentIsUnhealthy(t *testing.T) {
	cold := encoder.TargetStatus{Target: "t-cold", FailureDomain: "west", State: "cold", Limit: 1, InFlight: 1, Queued: 3}
	down := encoder.TargetStatus{Target: "t-down", FailureDomain: "west", State: "down", Limit: 2}
	a, _ := startInstance(t, "a", 7, fakeTotals{"queries-partial": 1, "queries-complete": 5, "sub-queries-needed": 100, "sub-queries-sent": 130, "hedger-extra-sub-queries": 2, "coverage-shards": 8, "coverage-shards-answered": 6, "other": 9}, cold)
	b, _ := startInstance(t, "b", 7, fakeTotals{"queries-partial": 2}, encoder.TargetStatus{Target: "t-down", State: "warm"})
	c, _ := startInstance(t, "c", 6, fakeTotals{"invariant-violations": 1}, down)

	r := runCommand(nil, "status", "--instances", a+","+b)
	assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.out)
	for _, text := range []string{"HEALTHY", "generation 7, digest d, for up to 1m30s, on a, b", "cold         t-cold", "t-cold: 1 of 1 in flight, 3 queued", "complete answers: 62.500 % of 8 queries; 3 partial, 0 not-run, 0 unknown", "coverage: 75.000 % of 8 shards", "limit reached on a", "extra load: 1.0200", "queries-partial           3"} {
		assert.Assert(t, strings.Contains(r.out, text), "%s", r.out)
	}
	assert.Assert(t, !strings.Contains(r.out, "other"))

	r = runCommand(nil, "status", "--instances", a+","+b+","+c+",127.0.0.1:1")
	assert.Equal(t, r.code, commander.ExitUnhealthy)
	for _, text := range []string{"UNHEALTHY", "3 of 4 instances answered", "instance 127.0.0.1:1 did not answer", "generation 6 is still in force on c", "target t-down is down for c, but not for b", "partly-down  t-down", "an invariant was violated"} {
		assert.Assert(t, strings.Contains(r.out, text), "%s", r.out)
	}

	r = runCommand(nil, "status", "--instances", c)
	assert.Assert(t, strings.Contains(r.out, "target t-down is down, reported by c"), "%s", r.out)

	r = runCommand(nil, "status", "--json", "--instances", c)
	assert.Equal(t, r.code, commander.ExitUnhealthy)
	var state struct {
		Healthy bool     `json:"healthy"`
		Reasons []string `json:"reasons"`
	}
	assert.NilError(t, json.Unmarshal([]byte(r.out), &state))
	assert.Equal(t, len(state.Reasons), 2)
	assert.Equal(t, runCommand(nil, "status").code, commander.ExitUsage)
}

// Guards against a closed failure domain that is missing from the status or counts as unhealthy, whether its targets
// are in the state closed or leaving, and against a healthy status when no owner may use a cold target.
func TestStatusIsHealthyWithClosedDomainAndUnhealthyWithoutLease(t *testing.T) {
	a, _ := startInstance(t, "a", 7, nil, encoder.TargetStatus{Target: "t1", FailureDomain: "east", State: "closed", Limit: 1, InFlight: 1})
	b, _ := startInstance(t, "b", 7, nil, encoder.TargetStatus{Target: "t2", FailureDomain: "east", State: "leaving"})
	r := runCommand(nil, "status", "--instances", a+","+b)
	assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.out)
	for _, text := range []string{"east  0          1 closed, 1 leaving  1", "west  2          none                 0", "closed       t1", "leaving      t2"} {
		assert.Assert(t, strings.Contains(r.out, text), "%s", r.out)
	}
	c, _ := startInstance(t, "c", 7, nil, encoder.TargetStatus{Target: "t3", FailureDomain: "east", State: "cold"})
	r = runCommand(nil, "status", "--instances", a+","+c)
	assert.Equal(t, r.code, commander.ExitUnhealthy)
	assert.Assert(t, strings.Contains(r.out, "1 target cold and may receive no work, because no owner holds a lease: t3"), "%s", r.out)
}

// Guards against a refused manifest that goes unnoticed, since it leaves the generation unchanged, and against a
// --period that shows counters since the start, which would hide what callers get now.
func TestStatusReportsRefusedManifestAndCountsOverPeriod(t *testing.T) {
	counters := fakeTotals{"queries-complete": 10, "coverage-shards": 10, "coverage-shards-answered": 10}
	a, recorderA := startInstance(t, "a", 7, counters)
	recorderA.Record(recorder.KindManifestRefused, "platform", "", "too old")
	recorderA.Record(recorder.KindManifestApplied, "platform", "", "generation 7")
	r := runCommand(nil, "status", "--instances", a, "--period", "100ms")
	assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.out)
	assert.Assert(t, strings.Contains(r.out, "EXTRA LOAD  in 100ms") && !strings.Contains(r.out, "queries-complete"), "%s", r.out)
	recorderA.Record(recorder.KindManifestRefused, "platform", "", "2 problems")
	r = runCommand(nil, "status", "--instances", a)
	assert.Equal(t, r.code, commander.ExitUnhealthy)
	assert.Assert(t, strings.Contains(r.out, "the latest manifest was refused by a: 2 problems"), "%s", r.out)
	assert.Equal(t, runCommand(nil, "status", "--instances", a, "--period", "-1s").code, commander.ExitUsage)
}

// Guards against a planned restart that is reported as a failure, and against instances of the member list that are not
// asked.
func TestStatusIsHealthyWhenLeavingInstanceIsGone(t *testing.T) {
	a, _ := startInstance(t, "a", 7, nil)
	list := encoder.MemberList{Targets: []encoder.MemberTarget{}, Instances: []encoder.MemberInstance{
		{Name: "a", FailureDomain: "west", PeerAddress: a, AdminAddress: a, State: "live"},
		{Name: "b", FailureDomain: "west", PeerAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:1", State: "leaving"},
	}}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(encoder.Encode(list)) }))
	defer platform.Close()
	r := runCommand(nil, "status", "--platform", platform.Listener.Addr().String())
	assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.out)
	assert.Assert(t, strings.Contains(r.out, "1 of 2 instances answered"))
	assert.Equal(t, runCommand(nil, "status", "--platform", "127.0.0.1:1").code, commander.ExitFailed)
}

// Guards against a status that claims an answer of the platform although no instance answered.
func TestStatusDoesNotClaimPlatformAnswerWhenNoInstanceAnswered(t *testing.T) {
	r := runCommand(nil, "status", "--instances", "127.0.0.1:1")
	assert.Assert(t, r.code != commander.ExitSuccess)
	assert.Assert(t, !strings.Contains(r.out, "platform last answered"), "%s", r.out)
}

// Guards against a timeline that is incomplete without saying so, because some instances did not answer, and against
// filters and an event order that do not work.
func TestTimelineNamesInstancesWithoutAnswer(t *testing.T) {
	a, recorderA := startInstance(t, "a", 7, nil)
	b, recorderB := startInstance(t, "b", 7, nil)
	recorderA.Record(recorder.KindTargetCold, "t1", "", "restarted\nnow")
	recorderB.Record(recorder.KindTargetWarm, "t1", "", "")
	recorderA.Record(recorder.KindQueryPartial, "t2", "q1", "")

	r := runCommand(nil, "timeline", "--instances", a+","+b, "--since", "10m", "--target", "t1")
	assert.Equal(t, r.code, commander.ExitSuccess, "%s", r.errOut)
	lines := strings.Split(strings.TrimSpace(r.out), "\n")
	assert.Equal(t, len(lines), 2, "%s", r.out)
	assert.Assert(t, strings.Contains(lines[0], "target-cold") && strings.Contains(lines[0], `restarted\nnow`))
	assert.Assert(t, strings.Contains(lines[1], "target-warm"))

	r = runCommand(nil, "timeline", "--instances", a+",127.0.0.1:1", "--json", "--query", "q1")
	assert.Equal(t, r.code, commander.ExitIncomplete)
	assert.Assert(t, strings.Contains(r.errOut, "127.0.0.1:1 did not answer"))
	event, err := encoder.Decode[encoder.Event]([]byte(strings.TrimSpace(r.out)))
	assert.NilError(t, err)
	assert.Equal(t, event.Kind, "query-partial")

	later := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	assert.Equal(t, runCommand(nil, "timeline", "--instances", a, "--since", later).out, "")
	assert.Equal(t, runCommand(nil, "timeline", "--instances", a, "--since", "soon").code, commander.ExitUsage)
}
