//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lookupService = "lookups"
	lookupPath    = "/lookups/"
	otherService  = "browsing"
	otherPath     = "/browsing/"
	// lookupTime is the time that a target takes for a lookup.
	lookupTime = 400 * time.Millisecond
	// crashes is the number of crashes in a row, downTime how long the targets are down each time, and crashInterval the time
	// between two crashes.
	crashes       = 3
	downTime      = 500 * time.Millisecond
	crashInterval = 1250 * time.Millisecond
	// offTime is how long the instances are down after the final fault.
	offTime = time.Second
	// recoveryTime is the time after the return of the machines from which requests count.
	recoveryTime = 12 * time.Second
	// observedTime is how long requests are sent that count.
	observedTime = 40 * time.Second
	// leastShare is the share of the requests that has to be served before the final fault and after the recovery.
	leastShare = 0.25
)

// lookupConfig is a configuration with two routes, whose requests may be repeated.
func lookupConfig() map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 5000,
			"target_latency_ms": 600, "priority": 2, "service": service, "max_attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "health_path": "/health", "max_connections": 38, "protocol": "h1", "tls": false, "warmup_s": 3.0,
			"warmup_per_s": 0.0,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("r-lookup", lookupPath, lookupService), route("r-browse", otherPath, otherService)},
		"services": []any{service(lookupService), service(otherService)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startLookups starts the store, the targets of both services and the instances, and returns the targets that do lookups.
func startLookups(w *world) (*store, []*leaf, error) {
	s := newStore()
	w.onClose(s.close)
	s.put("op/config", lookupConfig())
	var lookups []*leaf
	for i := range 8 {
		service, work := lookupService, lookupTime
		if i >= 4 {
			service, work = otherService, 20*time.Millisecond
		}
		l, err := newLeaf(w, fmt.Sprintf("i-%08x", 0x5d3a9000+i), service, zones[i%len(zones)], work)
		if err != nil {
			return nil, nil, err
		}
		if err := l.start(time.Now().Add(-time.Minute)); err != nil {
			return nil, nil, err
		}
		w.onClose(l.stop)
		s.put("servers/"+l.id, l.entry("ready"))
		if service == lookupService {
			lookups = append(lookups, l)
		}
	}
	for i, zone := range zones {
		if _, err := w.addNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone); err != nil {
			return nil, nil, err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n, s.address()); err != nil {
			return nil, nil, err
		}
	}
	return s, lookups, w.awaitReady()
}

// runHotRequest kills all instances, and crashes the targets of a service a few times in a row after their return, while most
// callers ask for the same order.
func runHotRequest(w *world) error {
	s, lookups, err := startLookups(w)
	if err != nil {
		return err
	}
	hot := startLoad(w, 5, http.MethodGet, lookupPath+"order-4711", 600*time.Millisecond)
	others := startLoad(w, 1, http.MethodGet, otherPath, 600*time.Millisecond)
	time.Sleep(2 * contactTime)
	fault := time.Now()
	w.log("final fault: all instances are killed")
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(offTime)
	for _, n := range w.nodes {
		if err := w.start(n, s.address()); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	back := time.Now()
	time.Sleep(2 * time.Second)
	for range crashes {
		if w.trouble {
			if err := crashAll(s, lookups); err != nil {
				return err
			}
		}
		time.Sleep(crashInterval - downTime)
	}
	time.Sleep(time.Until(back.Add(recoveryTime + observedTime)))
	hot.end()
	others.end()
	return judgeRecovery(w, fault, back.Add(recoveryTime), hot, others)
}

// crashAll ends the targets and starts them again under their ids at their addresses.
func crashAll(s *store, leafs []*leaf) error {
	for _, l := range leafs {
		l.stop()
	}
	time.Sleep(downTime)
	for _, l := range leafs {
		if err := l.start(time.Now()); err != nil {
			return err
		}
		s.put("servers/"+l.id, l.entry("ready"))
	}
	return nil
}

// judgeRecovery checks that a quarter or more of the requests that were sent after the recovery are served, if it was so
// before the fault.
func judgeRecovery(w *world, fault, recovered time.Time, loads ...*load) error {
	var before, after tally
	for _, l := range loads {
		before.add(l, func(sent time.Time) bool { return sent.Before(fault.Add(-clientDeadline / 2)) })
		after.add(l, func(sent time.Time) bool { return sent.After(recovered) })
	}
	w.log("served before the fault: %v", before)
	w.log("served of those sent later than %v after the return: %v", recoveryTime, after)
	if before.share() < leastShare {
		return fmt.Errorf("only %v served before the fault", before)
	}
	if after.share() < leastShare {
		return fmt.Errorf("%w: RECOVER, %v of the requests sent after the recovery are served", errBroken, after)
	}
	return nil
}

// tally counts the requests of some time.
type tally struct{ served, sent int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (t tally) String() string { return fmt.Sprintf("%d of %d (%.3f)", t.served, t.sent, t.share()) }

// add adds the requests of a load that were sent at the selected times.
func (t *tally) add(l *load, selected func(sent time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		if !selected(o.sent) {
			continue
		}
		t.sent++
		if o.err == nil && o.status >= 200 && o.status < 300 {
			t.served++
		}
	}
}
