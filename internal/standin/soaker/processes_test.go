package soaker_test

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/wire/encoder"
)

// Arguments of deployer.New that give deployments of 8 and of 14 targets.
const divisorOf8Targets, divisorOf14Targets = 30, 10

// Guards against queries that fail because the owner of their targets was killed, and against a restarted owner that
// overloads cold targets or makes an answer break a guarantee.
func TestKilledOwnerIsReplaced(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	d.awaitWarm()
	owner := d.leaseHolder(d.targets()[0].Name)
	awaitLoad := d.loadInBackground(5*time.Second, d.callersExcept(owner.Name)...)
	time.Sleep(time.Second)
	assert.NilError(t, d.Kill(owner.Name))
	time.Sleep(time.Second)
	during := d.load(time.Second, d.callersExcept(owner.Name)...)
	assert.Assert(t, allComplete(during), "while the owner is down: %v, codes %v", during.Outcomes, during.Codes)
	assert.NilError(t, d.Restart(t.Context(), owner.Name))
	awaitLoad()
	d.awaitComplete(10 * time.Second)
}

// Guards against an owner that is paused, loses its lease on a cold target to another owner, and still uses the lease
// when it resumes.
func TestPausedOwnerLosesItsLease(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	target := d.targets()[0].Name
	owner := d.leaseHolder(target)
	assert.NilError(t, d.Kill(target))
	assert.NilError(t, d.Restart(t.Context(), target))
	awaitLoad := d.loadInBackground(9*time.Second, d.callersExcept(owner.Name)...)
	time.Sleep(500 * time.Millisecond)
	awaitOwnerLoad := d.loadInBackground(time.Second, owner.CallerAddress)
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, d.Pause(owner.Name))
	assert.NilError(t, d.RemoveMember(t.Context(), owner.Name))
	d.eventually(8*time.Second, "a new owner", func() bool {
		_, before := d.statistics(target)
		time.Sleep(300 * time.Millisecond)
		_, after := d.statistics(target)
		return after > before
	})
	assert.NilError(t, d.Resume(owner.Name))
	awaitOwnerLoad()
	awaitLoad()
	s, _ := d.statistics(target)
	assert.Equal(t, s.ColdOverload, 0)
}

// Guards against silent connections that are never replaced, and against marking a target down that new connections can
// reach.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	for _, target := range d.targets() {
		d.Link(target.Name).Control(forwarder.Control{Mode: forwarder.ModeSilent})
	}
	for _, n := range d.Instances() {
		d.Link(n.Name).Control(forwarder.Control{Mode: forwarder.ModeSilent})
	}
	d.awaitComplete(10 * time.Second)
	for _, n := range d.Instances() {
		for _, target := range d.status(n).Targets {
			assert.Assert(t, target.State != "down", "%s at %s", target.Target, n.Name)
		}
	}
}

// Guards against a graceful stop that cuts off requests of callers or of other instances.
func TestGracefulStopCutsOffNoRequests(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	leaving := d.Instances()[0]
	awaitLoad := d.loadInBackground(4*time.Second, d.callersExcept(leaving.Name)...)
	time.Sleep(500 * time.Millisecond)
	stopped := make(chan error, 1)
	var senders sync.WaitGroup
	text, limit := "text 1", 10
	body := encoder.Encode(encoder.QueryRequest{QueryClass: "buyer-search", Text: &text, Limit: &limit})
	for range 4 {
		senders.Go(func() {
			// Sends queries as a load balancer does, until the instance reports that it is not ready.
			for ready := true; ready; {
				response, err := http.Get("http://" + leaving.CallerAddress + "/v1/ready")
				if !assert.Check(t, err) {
					return
				}
				ready = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
				response, err = http.Post("http://"+leaving.CallerAddress+"/v1/queries", "application/json", bytes.NewReader(body))
				if !assert.Check(t, err) {
					return
				}
				raw, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.Check(t, err)
				refusal, _ := encoder.Decode[encoder.ErrorReply](raw)
				assert.Check(t, response.StatusCode == http.StatusOK || refusal.Outcome == encoder.QueryOutcomeNotRun, string(raw))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	go func() {
		code, err := d.StopAndRemoveInstance(t.Context(), leaving.Name, 30*time.Second)
		assert.Check(t, code == 0, "exit code %d", code)
		stopped <- err
	}()
	senders.Wait()
	assert.NilError(t, <-stopped)
	r := awaitLoad()
	// A query may be refused while a cold target changes its owner, but none may be cut off.
	finished := r.Outcomes[encoder.QueryOutcomeComplete] + r.Outcomes[encoder.QueryOutcomeNotRun]
	assert.Equal(t, finished, r.Sent, "outcomes %v, codes %v", r.Outcomes, r.Codes)
}

// Guards against a ticket that runs more than once when it is sent to several instances, or that runs after its issuer
// was killed.
func TestTicketRunsOnceAcrossRestarts(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	issuer, other := d.Instances()[0], d.Instances()[1]
	limit, key := 10, "key 1"
	order := func(text string) encoder.QueryRequest {
		ticket := d.newTicket(issuer.CallerAddress)
		return encoder.QueryRequest{QueryClass: orderClass, Text: &text, Limit: &limit, Key: &key, Ticket: &ticket}
	}
	ran, fresh := order("order ran"), order("order fresh")
	first, outcome := d.query(t.Context(), issuer.CallerAddress, ran)
	assert.Equal(t, outcome, encoder.QueryOutcomeComplete)
	again, _ := d.query(t.Context(), other.CallerAddress, ran)
	assert.Equal(t, again.Query, first.Query)
	assert.DeepEqual(t, again.Hits, first.Hits)

	assert.NilError(t, d.Kill(issuer.Name))
	for range 2 {
		for _, q := range []encoder.QueryRequest{ran, fresh} {
			_, outcome := d.query(t.Context(), other.CallerAddress, q)
			assert.Equal(t, outcome, encoder.QueryOutcomeUnknown, *q.Text)
		}
		assert.NilError(t, d.Restart(t.Context(), issuer.Name))
		assert.NilError(t, d.WaitReady(t.Context(), 10*time.Second))
	}
	_, outcome = d.query(t.Context(), issuer.CallerAddress, fresh)
	assert.Equal(t, outcome, encoder.QueryOutcomeUnknown)
	assert.Equal(t, d.countRuns("order ran"), 1)
	assert.Equal(t, d.countRuns("order fresh"), 0)
}

// Guards against a restarted instance that applies an old manifest because the platform serves a stale one.
func TestRestartedInstanceKeepsNewestManifestWhenPlatformIsStale(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	old := d.Manifest()
	assert.NilError(t, d.PublishNewVersion(t.Context(), old.Indexes[0].Name))
	newest := d.Manifest().Generation
	allApplied := func() bool {
		for _, n := range d.Instances() {
			if d.status(n).Generation != newest {
				return false
			}
		}
		return true
	}
	d.eventually(5*time.Second, "the new generation", allApplied)
	assert.NilError(t, replier.Put(t.Context(), "http://"+d.PlatformAddress()+"/v1/control/values/manifest", encoder.Encode(old)))
	fresh := d.Instances()[0]
	assert.NilError(t, d.Kill(fresh.Name))
	assert.NilError(t, d.Restart(t.Context(), fresh.Name))
	assert.NilError(t, d.WaitReady(t.Context(), 10*time.Second))
	d.eventually(5*time.Second, "the newest generation everywhere", allApplied)
	d.awaitComplete(10 * time.Second)
	assert.Assert(t, allApplied())
}

// Guards against work that reaches a closed failure domain more than 3 s after its closure, and against overload of its
// targets, which are cold when the domain opens again.
func TestReopenedDomainGetsWorkWithoutColdOverload(t *testing.T) {
	d := startDeployment(t, divisorOf8Targets)
	domain := d.Manifest().FailureDomains[0].Name
	awaitLoad := d.loadInBackground(12 * time.Second)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, d.SetDomainState(t.Context(), domain, encoder.FailureDomainStateClosed))
	time.Sleep(3 * time.Second)
	received := make(map[string]int)
	for _, target := range d.targets() {
		if target.FailureDomain == domain {
			_, received[target.Name] = d.statistics(target.Name)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for name, before := range received {
		_, after := d.statistics(name)
		assert.Equal(t, after, before, name)
		assert.NilError(t, d.Kill(name))
		assert.NilError(t, d.Restart(t.Context(), name))
	}
	assert.NilError(t, d.SetDomainState(t.Context(), domain, encoder.FailureDomainStateOpen))
	r := awaitLoad()
	assert.Assert(t, r.CoverageMinimum == 1, "coverage %v, minimum %v", r.CoverageMean, r.CoverageMinimum)
	for name := range received {
		s, after := d.statistics(name)
		assert.Equal(t, s.ColdOverload, 0, name)
		assert.Assert(t, after > 0, "%s gets no work after its failure domain was opened again", name)
	}
}

// Guards against a partition during which an instance answers a third of its queries or fewer, or from which the
// deployment does not recover.
func TestBothSidesServeDuringPartition(t *testing.T) {
	d := startDeployment(t, divisorOf14Targets)
	d.load(4 * time.Second)
	domains := d.Manifest().FailureDomains
	for _, other := range domains[1:] {
		d.SetDomainLinkMode(domains[0].Name, other.Name, forwarder.ModeSilentAll)
	}
	// Cold targets get no queries until one lease duration after the lease ended.
	time.Sleep(7 * time.Second)
	for _, n := range d.Instances() {
		r := d.load(time.Second, n.CallerAddress)
		answers := r.Outcomes[encoder.QueryOutcomeComplete] + r.Outcomes[encoder.QueryOutcomePartial]
		assert.Assert(t, answers > r.Sent/3, "%s in %s: outcomes %v, codes %v", n.Name, n.FailureDomain, r.Outcomes, r.Codes)
		if n.FailureDomain == domains[0].Name {
			assert.Assert(t, r.CoverageMinimum < 1, "the partition does not separate the failure domains")
		}
	}
	for _, other := range domains[1:] {
		d.SetDomainLinkMode(domains[0].Name, other.Name, forwarder.ModeNormal)
	}
	d.awaitComplete(15 * time.Second)
}
