package rehearser

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"apricotflow/internal/standin/httpresponder"
	"apricotflow/platform"
)

const (
	// pauseAsked is the time for which a target that turns requests away asks to be spared. It is longer than a fault.
	pauseAsked = 3 * time.Second
	// pauseNoticeTime is the time from which a target that has asked to be spared must be. Each instance may learn of it by
	// its own requests, up to maxPausedRequests.
	pauseNoticeTime   = 500 * time.Millisecond
	maxPausedRequests = 3
	// maxLeavingRequests is the number of requests that each instance may send to a target that states that it leaves: those
	// in flight at the first reply that says so, also after a restart of the instance.
	maxLeavingRequests = 5
	// fatalPath is the path of the request under which targets end, after fatalTime. Others take their place after
	// restartTime.
	fatalPath   = searchPrefix + "fatal"
	fatalTime   = 10 * time.Millisecond
	restartTime = time.Second
	// maxFatalDelay is the maximum time until the first such request.
	maxFatalDelay = time.Second
	// fatalInterval is the time between two such requests of the same caller.
	fatalInterval = 150 * time.Millisecond
	// fatalNoticeTime is the time after the third end of a target from which at most maxFatalRequests more may reach targets.
	fatalNoticeTime  = 2 * time.Second
	maxFatalRequests = 3
	endsUntilNotice  = 3
)

// endTarget ends a target as a process does, with its link, and replaces it after restartTime.
func (d *Deployment) endTarget(id, service, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[id].HasEnded() {
		return
	}
	d.ends = append(d.ends, time.Now())
	d.targets[id].Close()
	d.links[id].Close()
	time.AfterFunc(restartTime, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if !closed {
			d.store.Remove(platform.PrefixTargets + id)
			d.AddTarget(service, domain, searchServiceTime)
		}
	})
}

// FatalRequests returns the ids of the requests under which targets end that reached targets after the given time.
func (d *Deployment) FatalRequests(after time.Time) map[string]bool {
	ids := make(map[string]bool)
	d.forEachRun(func(_ string, r httpresponder.ReceivedRequest) {
		if r.URI == fatalPath && r.ReadAt.After(after) {
			ids[r.Header.Get(platform.HeaderRequestID)] = true
		}
	})
	return ids
}

// Ends returns the times at which targets ended under requests.
func (d *Deployment) Ends() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time{}, d.ends...)
}

// sendFatalRequests sends the same request under which targets end to random instances, again and again, in every second
// soak until the given time. The returned function waits for the end and returns the violations.
func (s *soak) sendFatalRequests(ctx context.Context, until time.Time) func() []string {
	if s.random.IntN(2) == 0 {
		return func() []string { return nil }
	}
	begin := time.Now().Add(time.Duration(s.random.Int64N(int64(maxFatalDelay))))
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	s.faultLog = append(s.faultLog, fmt.Sprintf("request that ends targets from %s on", time.Until(begin).Round(time.Millisecond)))
	var refused []string
	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(time.Until(begin))
		for time.Now().Before(until) && ctx.Err() == nil {
			id := fmt.Sprintf("fa7a1%011x", random.Uint64()>>20)
			if s.deployment.sendFatalRequest(ctx, random.IntN(len(s.deployment.instances)), id) == http.StatusServiceUnavailable {
				refused = append(refused, id)
			}
			time.Sleep(fatalInterval)
		}
	})
	return func() (violations []string) {
		running.Wait()
		ran := s.deployment.FatalRequests(time.Time{})
		for _, id := range refused {
			if ran[id] {
				violations = append(violations, "request "+id+" ran although it was answered as not run")
			}
		}
		if ends := s.deployment.Ends(); len(ends) >= endsUntilNotice {
			from := ends[endsUntilNotice-1].Add(fatalNoticeTime)
			if late := s.deployment.FatalRequests(from); len(late) > maxFatalRequests {
				violations = append(violations, fmt.Sprintf("%d requests that end targets reached targets later than %s after the third end, %d are allowed; %d targets ended",
					len(late), fatalNoticeTime, maxFatalRequests, len(ends)))
			}
		}
		return violations
	}
}

// sendFatalRequest sends the request under which targets end to an instance and returns the status of the answer; 0 if
// there is none.
func (d *Deployment) sendFatalRequest(ctx context.Context, instance int, id string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.instances[instance].callerAddress+fatalPath, nil)
	if err != nil {
		return 0
	}
	request.Host, request.Close = searchHost, true
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderTimeLeft, "1500")
	client := http.Client{Timeout: searchTimeout * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	// Only the status counts.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// drawTarget returns the latest target of a random shard in a random failure domain.
func (s *soak) drawTarget() (id, service, domain string) {
	service, domain = shardName(s.random.IntN(shardCount)), domains[s.random.IntN(2)]
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	for _, other := range s.deployment.services[service] {
		if s.deployment.domains[other] == domain {
			id = other
		}
	}
	return id, service, domain
}

// leaveTarget starts a new target and lets another one of the same service and failure domain state in its replies that it
// leaves. Its entry in the store does not say so until the end of the soak.
func (s *soak) leaveTarget() func() {
	id, service, domain := s.drawTarget()
	s.deployment.AddTarget(service, domain, searchServiceTime)
	s.deployment.target(id).Leave()
	s.leaving[id] = time.Now()
	return nil
}

// endDepartures removes the entries of the targets that leave and reports those that got too many requests.
func (s *soak) endDepartures() (violations []string) {
	allowed := maxLeavingRequests * len(s.deployment.instances)
	for id, since := range s.leaving {
		if n := s.deployment.ReceivedAfter(id, since); n > allowed && !s.impaired[id] {
			violations = append(violations, fmt.Sprintf("target %s got %d requests after it had begun to state that it leaves, %d are allowed", id, n, allowed))
		}
		s.deployment.store.Remove(platform.PrefixTargets + id)
	}
	return violations
}

// pauseTarget lets a target turn all requests away and ask to be spared. The returned function reports requests that it got
// all the same.
func (s *soak) pauseTarget() func() {
	id, _, _ := s.drawTarget()
	target := s.deployment.target(id)
	target.Pause(pauseAsked)
	target.SetFixedBehaviour(httpresponder.Shed, 0)
	noticedAt := time.Now().Add(pauseNoticeTime)
	return func() {
		allowed := maxPausedRequests * len(s.deployment.instances)
		if n := s.deployment.ReceivedAfter(id, noticedAt); n > allowed && !s.impaired[id] {
			s.failures = append(s.failures, fmt.Sprintf("target %s got %d requests after it had asked to be spared, %d are allowed", id, n, allowed))
		}
		target.Pause(0)
		s.deployment.Recover(id)
	}
}
