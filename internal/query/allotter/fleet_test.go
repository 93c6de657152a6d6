package allotter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"apricotflow/internal/query/allotter"
)

const tenant = "a tenant"

var bounds = allotter.Bounds{Window: 5 * time.Second, Overrun: 0.25, Slack: 20}

// event is something that happens in virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// instance is a process with the decisions of this package, as package rationer drives them.
type instance struct {
	w            *world
	name, domain string
	alive        bool
	started      time.Duration
	frozenUntil  time.Duration
	// group is the side of the partition that the instance is on.
	group int
	// limit and version are what the instance knows of the tenant's limit.
	limit   allotter.Limit
	version int
	tracker *allotter.Tracker
	issuer  *allotter.Issuer
	peers   *allotter.Peers
	asker   *allotter.Asker
	polling bool
	// views holds what the instance knows of others, by name.
	views map[string]*view
}

// view is what one instance knows of another one.
type view struct {
	knownAt time.Duration
	// silentSince is the time since which the other one cannot be reached; negative if it can.
	silentSince time.Duration
	suspectLag  time.Duration
	forgotten   bool
}

// world is a fleet in virtual time. Its instances share the limit of one tenant.
type world struct {
	now       time.Duration
	queue     eventQueue
	seq       int
	random    *rand.Rand
	instances []*instance
	delay     time.Duration
	loss      float64
	// seeds is the number of instances that the settings name; these are the first ones.
	seeds int
	// lag is the longest time until news of an instance have reached all others.
	lag time.Duration
	// startLag is the longest time until a new process knows an instance that has started before it.
	startLag time.Duration
	// static reports whether the lists are complete from the start and do not change.
	static   bool
	admitted []time.Duration
	refused  int
	calls    int
	waits    []time.Duration
}

func newWorld(seed uint64, instances int, limit allotter.Limit, static bool) *world {
	w := &world{static: static, startLag: 600 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 7)), delay: 2 * time.Millisecond, lag: 3 * time.Second, now: time.Hour}
	w.seeds = instances
	for i := range instances {
		w.instances = append(w.instances, w.newInstance(i, limit))
	}
	for _, in := range w.instances {
		in.start()
	}
	return w
}

func (w *world) newInstance(i int, limit allotter.Limit) *instance {
	return &instance{w: w, name: fmt.Sprintf("i%d", i), domain: fmt.Sprintf("d%d", i%3), limit: limit, version: 1}
}

// start starts a new process of the instance.
func (in *instance) start() {
	w := in.w
	in.alive, in.started, in.frozenUntil, in.polling = true, w.now, 0, false
	in.tracker = allotter.NewTracker(in.name, in.domain, w.now)
	in.issuer = allotter.NewIssuer(bounds, in.tracker)
	in.peers = allotter.NewPeers()
	in.asker = allotter.NewAsker(in.name, tenant, bounds, in.peers)
	in.views = make(map[string]*view)
	in.update()
}

// at runs f at a time, or when the instance is no longer frozen, unless the process has ended.
func (in *instance) at(t time.Duration, f func()) {
	tracker := in.tracker
	var run func()
	run = func() {
		switch {
		case !in.alive || in.tracker != tracker:
		case in.frozenUntil > in.w.now:
			in.w.at(in.frozenUntil, run)
		default:
			f()
		}
	}
	in.w.at(t, run)
}

func (w *world) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: t, seq: w.seq, run: f})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = end
}

func (w *world) responds(in *instance) bool { return in.alive && in.frozenUntil <= w.now }

// update updates the list of instances, as the gossip of the instances does, and repeats that.
func (in *instance) update() {
	w := in.w
	if w.static {
		if w.now == in.started {
			in.updateStatic()
		}
		in.tracker.Observe(w.now)
		in.at(w.now+250*time.Millisecond, in.update)
		return
	}
	members := []allotter.Member{{Name: in.name, FailureDomain: in.domain}}
	for _, other := range w.instances {
		if other == in {
			continue
		}
		v := in.views[other.name]
		reachable := w.responds(other) && other.group == in.group
		if v == nil {
			if !reachable && !w.knownBeside(in, other) {
				continue
			}
			lag := w.lag
			if in.started >= other.started {
				// A new process gets the list of another one.
				lag = min(lag, w.startLag)
			}
			v = &view{knownAt: w.now + w.upTo(lag), silentSince: -1, suspectLag: w.upTo(w.lag)}
			in.views[other.name] = v
		}
		in.updateView(v, reachable)
		if v.knownAt <= w.now && !v.forgotten {
			suspected := v.silentSince >= 0 && w.now-v.silentSince > v.suspectLag
			members = append(members, allotter.Member{Name: other.name, FailureDomain: other.domain, Suspected: suspected})
		}
	}
	in.tracker.Update(w.now, members, in.w.seedsReached(members))
	in.at(w.now+250*time.Millisecond, in.update)
}

func (in *instance) updateStatic() {
	var members []allotter.Member
	for _, other := range in.w.instances {
		members = append(members, allotter.Member{Name: other.name, FailureDomain: other.domain})
		in.views[other.name] = &view{knownAt: in.w.now, silentSince: -1}
	}
	in.tracker.Update(in.w.now, members, in.w.seedsReached(members))
}

func (in *instance) updateView(v *view, reachable bool) {
	w := in.w
	switch {
	case reachable && v.forgotten:
		*v = view{knownAt: w.now + w.upTo(w.lag), silentSince: -1, suspectLag: w.upTo(w.lag)}
	case reachable:
		v.silentSince = -1
	case v.silentSince < 0:
		v.silentSince = w.now
	case w.now-v.silentSince > v.suspectLag+20*time.Second:
		v.forgotten = true
	}
}

// knownBeside reports whether an instance that in can reach has the other one in its list.
func (w *world) knownBeside(in, other *instance) bool {
	return slices.ContainsFunc(w.instances, func(peer *instance) bool {
		v := peer.views[other.name]
		return peer != in && w.responds(peer) && peer.group == in.group && v != nil && v.knownAt <= w.now && !v.forgotten
	})
}

// learn records that another instance has connected to this one.
func (in *instance) learn(other *instance) {
	if v := in.views[other.name]; v != nil && v.knownAt <= in.w.now && !v.forgotten {
		return
	}
	in.views[other.name] = &view{knownAt: in.w.now, silentSince: -1, suspectLag: in.w.upTo(in.w.lag)}
	in.updateNow()
}

// updateNow gives the tracker the list without another cycle of updates.
func (in *instance) updateNow() {
	var members []allotter.Member
	members = append(members, allotter.Member{Name: in.name, FailureDomain: in.domain})
	for _, other := range in.w.instances {
		if v := in.views[other.name]; v != nil && v.knownAt <= in.w.now && !v.forgotten {
			suspected := v.silentSince >= 0 && in.w.now-v.silentSince > v.suspectLag
			members = append(members, allotter.Member{Name: other.name, FailureDomain: other.domain, Suspected: suspected})
		}
	}
	in.tracker.Update(in.w.now, members, in.w.seedsReached(members))
}

func (w *world) seedsReached(members []allotter.Member) allotter.Seeds {
	s := allotter.Seeds{Total: w.seeds}
	for _, m := range members {
		if !m.Suspected && slices.IndexFunc(w.instances, func(in *instance) bool { return in.name == m.Name }) < w.seeds {
			s.Reached++
		}
	}
	return s
}

// seedNames returns the names of the seeds, which are their addresses too. The instance knows those that respond.
func (w *world) seedNames(in *instance) map[string]string {
	names := make(map[string]string)
	for _, other := range w.instances[:w.seeds] {
		names[other.name] = ""
		if w.responds(other) && other.group == in.group {
			names[other.name] = other.name
		}
	}
	return names
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) find(name string) *instance {
	i := slices.IndexFunc(w.instances, func(in *instance) bool { return in.name == name })
	return w.instances[i]
}

// request lets a request arrive at the instance.
func (in *instance) request() {
	w := in.w
	if !w.responds(in) {
		return
	}
	in.asker.Configure(in.limit, in.version, in.tracker.Fleet(), in.domain)
	in.asker.SetInitialIssuer("")
	if w.now-in.started <= allotter.JoinTime {
		in.asker.SetInitialIssuer(allotter.InitialIssuer(tenant, w.seedNames(in)))
	}
	if in.asker.Admit(w.now) {
		w.admit(0)
		in.advance()
		return
	}
	arrived := w.now
	in.asker.Wait(w.now, func(admitted bool, _ time.Duration) {
		if admitted {
			w.admit(w.now - arrived)
			return
		}
		w.refused++
	})
	in.advance()
	in.poll()
}

func (w *world) admit(wait time.Duration) {
	w.admitted = append(w.admitted, w.now)
	w.waits = append(w.waits, wait)
}

func (in *instance) poll() {
	if in.polling {
		return
	}
	in.polling = true
	in.at(in.w.now+5*time.Millisecond, func() {
		in.polling = false
		if in.advance() {
			in.poll()
		}
	})
}

// advance makes the calls that the asker needs and reports whether there may be more to do.
func (in *instance) advance() bool {
	for own := true; own; {
		own = false
		for _, c := range in.asker.Advance(in.w.now) {
			if c.Instance != in.name {
				in.call(c)
				continue
			}
			own = true
			in.take(c.Request, func(r allotter.Reply) {
				in.asker.Replied(in.w.now, c, r)
				in.advance()
			})
		}
	}
	return in.asker.IsWaiting()
}

// take takes tokens from the issuer and makes the inquiries that it needs.
func (in *instance) take(r allotter.Request, reply func(allotter.Reply)) {
	result, inquiries := in.issuer.Take(in.w.now, r)
	if len(inquiries) == 0 || result.Granted > 0 {
		reply(result)
		reply = func(allotter.Reply) {}
	}
	open := len(inquiries)
	for _, q := range inquiries {
		answered := false
		finish := func(a allotter.Answer) {
			if answered {
				return
			}
			answered = true
			in.issuer.Answered(in.w.now, q, a)
			if open--; open == 0 && result.Granted == 0 {
				result, _ := in.issuer.Take(in.w.now, r)
				reply(result)
			}
		}
		in.send(in.w.find(q.Peer), func(peer *instance) func() {
			answer := allotter.Agreed
			if q.Announces {
				peer.learn(in)
				answer = peer.issuer.Review(in.w.now, in.name, q.Request)
			}
			return func() { finish(answer) }
		})
		in.at(in.w.now+35*time.Millisecond, func() { finish(allotter.Unreached) })
	}
}

// call asks another instance for tokens.
func (in *instance) call(c *allotter.Call) {
	in.w.calls++
	ended := false
	peer := in.w.find(c.Instance)
	in.sendDeferred(peer, func(respond func(func())) {
		peer.take(c.Request, func(r allotter.Reply) {
			respond(func() {
				if !ended {
					ended = true
					in.peers.Resume(c.Instance)
					in.asker.Replied(in.w.now, c, r)
					in.advance()
				}
			})
		})
	})
	in.at(in.w.now+allotter.CallTimeout, func() {
		if !ended {
			ended = true
			in.asker.Failed(in.w.now, c)
			in.advance()
		}
	})
}

// send delivers a message, and what the receiver answers at once.
func (in *instance) send(peer *instance, receive func(peer *instance) func()) {
	in.sendDeferred(peer, func(respond func(func())) { respond(receive(peer)) })
}

// sendDeferred delivers a message whose receiver answers when it calls respond.
func (in *instance) sendDeferred(peer *instance, receive func(respond func(func()))) {
	w := in.w
	if !peer.alive || peer.group != in.group || w.random.Float64() < w.loss {
		return
	}
	peer.at(w.now+w.transit(), func() {
		receive(func(answer func()) {
			if peer.group == in.group && w.random.Float64() >= w.loss {
				in.at(w.now+w.transit(), answer)
			}
		})
	})
}

func (w *world) transit() time.Duration {
	return w.delay/2 + w.upTo(w.delay)
}

// load lets requests arrive at random times, at the instance that pick returns.
func (w *world) load(rate float64, end time.Duration, pick func() *instance) {
	var next func()
	next = func() {
		if in := pick(); in != nil {
			in.request()
		}
		if w.now < end {
			w.at(w.now+time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	w.at(w.now, next)
}

// admittedIn returns the number of requests admitted in a span.
func (w *world) admittedIn(from, to time.Duration) int {
	return sort.Search(len(w.admitted), func(i int) bool { return w.admitted[i] >= to }) -
		sort.Search(len(w.admitted), func(i int) bool { return w.admitted[i] >= from })
}

// checkBound fails the test if a window that begins at or after from has more requests than the limit allows.
func (w *world) checkBound(t interface {
	Fatalf(format string, args ...any)
}, limit allotter.Limit, from, to time.Duration,
) {
	allowed := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overrun) + bounds.Slack
	for i, at := range w.admitted {
		if at < from || at >= to {
			continue
		}
		if n := w.admittedIn(at, at+bounds.Window); float64(n) > allowed {
			t.Fatalf("%d requests in the window that begins at %v, %.1f are allowed (request %d)", n, at-time.Hour, allowed, i)
		}
	}
}

var limits = []allotter.Limit{{Rate: 1}, {Rate: 9, Burst: 5}, {Rate: 40}, {Rate: 200, Burst: 50}}

// Guards against requests below the limit that are refused because the tokens are spread over several custodians, with all
// demand at one instance.
func TestLimitIsReachedWhenAllDemandArrivesAtOneInstance(t *testing.T) {
	forEachFleet(t, func(w *world, _ time.Duration) *instance { return w.instances[0] })
}

// Guards against tokens that stay behind where the demand was before.
func TestLimitIsReachedWhenDemandMovesBetweenFailureDomains(t *testing.T) {
	forEachFleet(t, func(w *world, now time.Duration) *instance {
		domain := int(now/time.Second) % 3
		return w.instances[domain+3*w.random.IntN(len(w.instances)/3)]
	})
}

func forEachFleet(t *testing.T, pick func(w *world, now time.Duration) *instance) {
	for _, size := range []int{30, 300} {
		for _, limit := range limits {
			t.Run(fmt.Sprintf("%d instances, %v per second", size, limit.Rate), func(t *testing.T) {
				w := newWorld(1, size, limit, true)
				w.runUntil(w.now + 10*time.Second)
				start := w.now
				// At least 200 tokens are issued, so that what a bucket holds at the ends hardly counts.
				end := start + max(50*time.Second, time.Duration(200/limit.Rate*float64(time.Second)))
				w.load(1.5*limit.Rate, end, func() *instance { return pick(w, w.now) })
				w.runUntil(end)
				from := start + 10*time.Second
				share := float64(w.admittedIn(from, end)) / (limit.Rate * (end - from).Seconds())
				t.Logf("share %.3f, %.2f calls per request", share, float64(w.calls)/float64(len(w.admitted)+w.refused))
				if share < 0.95 {
					t.Errorf("share of the limit %.3f, want at least 0.95", share)
				}
				w.checkBound(t, limit, 0, end)
			})
		}
	}
}
