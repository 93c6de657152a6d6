package soaker_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// programs is the directory that holds the binaries of the query tier and of the stand-ins.
var programs string

// deploymentSlots limits the number of deployments that run concurrently.
var deploymentSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "soaker-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
	output, err := exec.Command("go", "build", "-o", directory+"/", "apricotflow", "apricotflow/cmd/standin").CombinedOutput()
	if err != nil {
		panic(string(output))
	}
	return m.Run()
}

func programPath(name string) string { return filepath.Join(programs, name) }

// deployment is a small deployment of real processes with a forwarding link in front of each.
type deployment struct {
	*launcher.Launcher
	t *testing.T
}

// warmUpAnswers is the number of answers that a cold target needs to become warm.
const warmUpAnswers = 20

// startDeployment starts a deployment and waits until every query has a complete answer. A larger divisor gives a
// smaller deployment.
func startDeployment(t *testing.T, divisor int) deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	plan, err := deployer.New(deployer.DarEsSalaam, divisor, launcher.FreeAddress)
	assert.NilError(t, err)
	strict, balancer := true, 500
	l, err := launcher.Start(t.Context(), launcher.Settings{
		Standin: programPath("standin"), Apricotflow: programPath("apricotflow"), Plan: plan, Instances: 3, Links: true,
		TargetFlags: func(encoder.Target) []string {
			return []string{"--service-ms", "2", "--cold-answers", fmt.Sprint(warmUpAnswers)}
		},
		ChangeSettings: func(s *encoder.Settings) { s.StrictInvariants, s.BalancerMs = &strict, &balancer },
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		for _, n := range l.Instances() {
			if strings.Contains(l.Output(n.Name), "panic:") {
				t.Errorf("output of %s:\n%s", n.Name, l.Output(n.Name))
			}
		}
		l.Close()
		<-deploymentSlots
	})
	assert.NilError(t, l.WaitReady(t.Context(), 20*time.Second))
	d := deployment{l, t}
	d.awaitComplete(15 * time.Second)
	return d
}

// load sends queries to the given instances, by default to all, and fails the test if a guarantee is broken.
func (d deployment) load(duration time.Duration, callerAddresses ...string) driver.Result {
	if len(callerAddresses) == 0 {
		callerAddresses = d.CallerAddresses()
	}
	r := driver.New(driver.Settings{
		Manifest: d.Manifest(), NewestManifest: d.Manifest, CallerAddresses: callerAddresses, TargetControlAddresses: d.TargetControlAddresses(),
		Rate: 60, Duration: duration, Seed: 1, ResendPercent: 30,
	}).Run(d.t.Context())
	for _, v := range r.Violations {
		d.t.Errorf("%s: %s", v.Kind, v.Detail)
	}
	return r
}

// loadInBackground starts load and returns a function that waits for its result.
func (d deployment) loadInBackground(duration time.Duration, callerAddresses ...string) func() driver.Result {
	results := make(chan driver.Result, 1)
	go func() { results <- d.load(duration, callerAddresses...) }()
	return func() driver.Result { return <-results }
}

func allComplete(r driver.Result) bool { return r.Outcomes[encoder.QueryOutcomeComplete] == r.Sent }

func (d deployment) awaitComplete(limit time.Duration) {
	d.t.Helper()
	r := driver.Result{Sent: 1}
	for began := time.Now(); time.Since(began) < limit && !allComplete(r); {
		r = d.load(time.Second)
	}
	assert.Assert(d.t, allComplete(r), "answers are still incomplete after %s: outcomes %v, codes %v, coverage %v", limit, r.Outcomes, r.Codes, r.CoverageMean)
}

// awaitWarm sends queries until each shard has a replica that all its owners consider warm. Only the first owner of a
// cold target sends to it, and the target gets no queries while that owner changes.
func (d deployment) awaitWarm() {
	d.t.Helper()
	warm := func() bool {
		cold := make(map[string]bool)
		for _, n := range d.Instances() {
			for _, target := range d.status(n).Targets {
				cold[target.Target] = cold[target.Target] || target.State != string(encoder.LoadStateWarm)
			}
		}
		for _, x := range d.Manifest().Indexes {
			for _, shard := range x.Versions[len(x.Versions)-1].Shards {
				if !slices.ContainsFunc(shard.Replicas, func(replica string) bool { return !cold[replica] }) {
					return false
				}
			}
		}
		return true
	}
	for began := time.Now(); time.Since(began) < 15*time.Second && !warm(); {
		d.load(time.Second)
	}
	assert.Assert(d.t, warm(), "a shard has no replica that all its owners consider warm")
}

func (d deployment) status(n launcher.Instance) encoder.StatusReply {
	s, err := replier.Get[encoder.StatusReply](d.t.Context(), "http://"+n.AdminAddress+"/v1/status")
	assert.NilError(d.t, err)
	return s
}

// statistics returns the counters of a target and the number of sub-queries that reached it.
func (d deployment) statistics(target string) (responder.Statistics, int) {
	s, err := d.ControlTarget(d.t.Context(), target, responder.Control{})
	assert.NilError(d.t, err)
	received := s.Executed
	for _, n := range s.NotRun {
		received += n
	}
	return s, received
}

func (d deployment) targets() []encoder.Target {
	var targets []encoder.Target
	for _, s := range d.Manifest().Services {
		targets = append(targets, s.Targets...)
	}
	return targets
}

// leaseHolder returns the instance that holds the lease on the group of a target.
func (d deployment) leaseHolder(target string) launcher.Instance {
	d.t.Helper()
	group := ""
	for _, s := range d.Manifest().Services {
		for _, t := range s.Targets {
			if t.Name == target {
				group = s.Name + "@" + t.FailureDomain
			}
		}
	}
	var holder launcher.Instance
	d.eventually(10*time.Second, "the lease on "+group, func() bool {
		for _, n := range d.Instances() {
			reply, err := replier.Get[encoder.EventsReply](d.t.Context(), "http://"+n.AdminAddress+"/v1/events?subject="+group)
			assert.NilError(d.t, err)
			leases := slices.DeleteFunc(reply.Events, func(e encoder.Event) bool { return !strings.HasPrefix(e.Kind, "lease-") })
			if len(leases) > 0 && leases[len(leases)-1].Kind == "lease-held" {
				holder = n
				return true
			}
		}
		return false
	})
	return holder
}

// callersExcept returns the caller addresses of all instances but one.
func (d deployment) callersExcept(instance string) []string {
	var addresses []string
	for _, n := range d.Instances() {
		if n.Name != instance {
			addresses = append(addresses, n.CallerAddress)
		}
	}
	return addresses
}

func (d deployment) eventually(limit time.Duration, what string, done func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(50*time.Millisecond))
}

// query sends a query to an instance and returns the answer, or the outcome from the error reply.
func (d deployment) query(ctx context.Context, callerAddress string, q encoder.QueryRequest) (encoder.QueryReply, encoder.QueryOutcome) {
	reply, err := replier.Post[encoder.QueryReply](ctx, "http://"+callerAddress+"/v1/queries", q)
	if err == nil {
		return reply, reply.Outcome
	}
	status, ok := err.(*replier.StatusError) //nolint:errorlint // replier returns it unwrapped.
	if !ok {
		return reply, "no-reply"
	}
	refusal, err := encoder.Decode[encoder.ErrorReply]([]byte(status.Body))
	assert.NilError(d.t, err)
	return reply, refusal.Outcome
}

func (d deployment) newTicket(callerAddress string) string {
	reply, err := replier.Post[encoder.TicketReply](d.t.Context(), "http://"+callerAddress+"/v1/tickets", encoder.TicketRequest{QueryClass: orderClass})
	assert.NilError(d.t, err)
	return reply.Ticket
}

// countRuns returns how often the targets ran a non-idempotent query with this text.
func (d deployment) countRuns(text string) int {
	n := 0
	for _, t := range d.targets() {
		s, _ := d.statistics(t.Name)
		n += s.NonIdempotentRuns[text]
	}
	return n
}

// orderClass is the non-idempotent query class of the deployment.
const orderClass = "order-place"
