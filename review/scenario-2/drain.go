//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	orderService = "orders"
	orderPath    = "/orders/"
	// orderTargets is the number of targets, of which one is disturbed: a share of 0.125.
	orderTargets = 8
	// lingerTime is how long a target serves beyond the drain time before it exits.
	lingerTime = 4 * time.Second
	// workTime is the time that a target takes for a request.
	workTime = 250 * time.Millisecond
	// cutTime is the time after which the store cuts a watch that waits.
	cutTime = 800 * time.Millisecond
	// clockStep is by how much the clock of a machine jumps.
	clockStep = 2400 * time.Millisecond
)

var zones = []string{"dar-a", "dar-b", "dar-c"}

// orderConfig is a configuration with one route, whose requests run at most once.
func orderConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": clientHost, "prefix": orderPath, "route_type": "non_idempotent", "timeout_ms": 5000,
			"target_latency_ms": 600, "priority": 1, "service": orderService, "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": orderService, "health_path": "/health", "max_connections": 38, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startDeployment starts a store with the configuration, the targets and one instance in each zone.
func startDeployment(w *world) (*store, []*leaf, error) {
	s := newStore()
	w.onClose(s.close)
	s.put("op/config", orderConfig(1))
	var leafs []*leaf
	for i := range orderTargets {
		l, err := newLeaf(w, fmt.Sprintf("i-%08x", 0x7f3a9000+i), orderService, zones[i%len(zones)], workTime)
		if err != nil {
			return nil, nil, err
		}
		if err := l.start(time.Now().Add(-time.Minute)); err != nil {
			return nil, nil, err
		}
		w.onClose(l.stop)
		s.put("servers/"+l.id, l.entry("ready"))
		leafs = append(leafs, l)
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
	return s, leafs, w.awaitReady()
}

// judgeDrain checks that no request has reached the target later than the drain time after the acknowledgement, and tells
// which of those that did were lost.
func judgeDrain(w *world, l *leaf, acknowledged time.Time, calls *load) error {
	late := l.arrivalsAfter(acknowledged.Add(drainTime))
	lost := 0
	for _, a := range late {
		o := calls.outcome(a.id)
		if o.err != nil || o.status >= 500 {
			lost++
			w.log("lost: %s reached %s %.3f s after the acknowledgement and ended with status %d, error %v",
				a.id, a.target, a.at.Sub(acknowledged).Seconds(), o.status, o.err)
		}
	}
	served, other := calls.counts()
	w.log("served %d, other ends %d; reached the leaving target too late %d, of these lost when it exited %d", served, other, len(late), lost)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests reached a target later than %v after its state was acknowledged", errBroken, len(late), drainTime)
	}
	return nil
}

// runRestartedTarget restarts a target under its id after the clock of its machine has jumped back, and drains it later.
func runRestartedTarget(w *world) error {
	s, leafs, err := startDeployment(w)
	if err != nil {
		return err
	}
	l := leafs[0]
	key := "servers/" + l.id
	calls := startLoad(w, 7, http.MethodPost, orderPath, 300*time.Millisecond)
	time.Sleep(contactTime)
	// The target starts, crashes and starts again. While the clock of its machine is ahead, so is the first start time.
	l.stop()
	time.Sleep(300 * time.Millisecond)
	ahead := time.Duration(0)
	if w.trouble {
		ahead = clockStep
		w.log("the clock of the machine of %s jumps ahead by %v", l.id, clockStep)
	}
	if err := l.start(time.Now().Add(ahead)); err != nil {
		return err
	}
	s.put(key, l.entry("ready"))
	time.Sleep(time.Second)
	if w.trouble {
		w.log("the clock of the machine of %s jumps back", l.id)
	}
	l.stop()
	time.Sleep(300 * time.Millisecond)
	if err := l.start(time.Now()); err != nil {
		return err
	}
	s.put(key, l.entry("ready"))
	time.Sleep(contactTime + 2*time.Second)
	acknowledged := s.put(key, l.entry("draining"))
	w.log("the store acknowledges that %s is draining", l.id)
	time.Sleep(drainTime + lingerTime)
	l.stop()
	s.remove(key)
	time.Sleep(time.Second)
	calls.end()
	return judgeDrain(w, l, acknowledged, calls)
}

// runCutWatches cuts the watches that wait, while a target leaves without reporting that it drains.
func runCutWatches(w *world) error {
	s, leafs, err := startDeployment(w)
	if err != nil {
		return err
	}
	l := leafs[0]
	calls := startLoad(w, 7, http.MethodPost, orderPath, 300*time.Millisecond)
	time.Sleep(contactTime + 2*time.Second)
	if w.trouble {
		w.log("the store cuts each watch that has waited for %v", cutTime)
		s.setCut(cutTime)
	}
	time.Sleep(contactTime)
	acknowledged := s.remove("servers/" + l.id)
	w.log("the store acknowledges that %s is gone, after %d cuts", l.id, s.cutCount())
	time.Sleep(drainTime + lingerTime)
	l.stop()
	time.Sleep(time.Second)
	w.log("%d watches were cut", s.cutCount())
	calls.end()
	return judgeDrain(w, l, acknowledged, calls)
}
