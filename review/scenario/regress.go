//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["older-after-newer"] = playOlderAfterNewer }

// playOlderAfterNewer: a machine is cut off from another zone, which a third zone still reaches, and the store turns it away. A
// configuration moves both of its routes. Rule CONFIG: once a leaf has seen the effect of a version in a request to the
// machine, later requests to it are not handled as only an older version allows.
func playOlderAfterNewer(w *world) ([]string, error) {
	const (
		rollbackSlack = 250 * time.Millisecond
		calm          = 9 * time.Second
		cutLead       = 1500 * time.Millisecond
		observed      = 3500 * time.Millisecond
	)
	var leafs []*leaf
	add := func(service, zone string, n int) error {
		for range n {
			f, err := w.newLeaf(fmt.Sprintf("i-7f3a%02d", len(leafs)), service, zone, 3, 12)
			if err != nil {
				return err
			}
			f.register("ready", 1)
			leafs = append(leafs, f)
		}
		return nil
	}
	// The far route has its leafs in the zone that is cut off, the near one in the zone of the machine.
	for _, service := range []string{"far-old", "far-new"} {
		if err := add(service, "east", 3); err != nil {
			return nil, err
		}
	}
	for _, service := range []string{"near-old", "near-new"} {
		if err := add(service, "west", 3); err != nil {
			return nil, err
		}
	}
	services := []string{"far-old", "far-new", "near-old", "near-new"}
	put := func(version int, suffix string) {
		w.putConfig(version, []map[string]any{
			route("r-far", "/far/", "idempotent", "far-"+suffix, 5000, 600), route("r-near", "/near/", "idempotent", "near-"+suffix, 5000, 600),
		}, services, 38)
	}
	put(7, "old")
	west, err := w.newInstance("edge-west-1", "west")
	if err != nil {
		return nil, err
	}
	machines := []*instance{west}
	for _, name := range []string{"edge-north-1", "edge-north-2"} {
		i, err := w.newInstance(name, "north")
		if err != nil {
			return nil, err
		}
		machines = append(machines, i)
	}
	for _, i := range machines {
		if err := i.writeSettings([]string{machines[0].control, machines[1].control, machines[2].control}); err != nil {
			return nil, err
		}
		if err := i.run(); err != nil {
			return nil, err
		}
	}
	for _, i := range machines {
		if err := i.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	var isCut atomic.Bool
	for _, f := range leafs {
		if f.zone == "east" {
			f.cutOff = func(remote net.Addr) bool { return isCut.Load() && west.owns(remote) }
		}
	}
	w.store.setTurnsAway(func(remote net.Addr) bool { return isCut.Load() && west.owns(remote) })

	type sent struct {
		id, uri string
		at      time.Time
		status  int
	}
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	end := time.Now().Add(calm + cutLead + observed)
	for n, prefix := range []string{"/far/", "/near/", "/near/"} {
		clients.Go(func() {
			c := w.newClient(strconv.Itoa(n), west.front)
			defer c.disconnect()
			for k := 0; time.Now().Before(end); k++ {
				s := sent{id: fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, k), uri: prefix + strconv.Itoa(k), at: time.Now()}
				s.status = c.send(http.MethodGet, s.uri, s.id, nil, 5*time.Second).status
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(calm)
	if w.trouble {
		w.logf("zones west and east cannot reach each other; the store turns machine %s away", west.name)
		isCut.Store(true)
		for _, f := range leafs {
			f.resetCutOff()
		}
	}
	time.Sleep(cutLead)
	put(8, "new")
	clients.Wait()

	ranOn := func(id string) string {
		for _, f := range leafs {
			if f.runCount(id) > 0 {
				return f.service
			}
		}
		return ""
	}
	var seen time.Time
	var seenBy sent
	for _, s := range all {
		if at, ran := firstRun(leafs, s.id, "new"); ran && (seen.IsZero() || at.Before(seen)) {
			seen, seenBy = at, s
		}
	}
	if seen.IsZero() {
		return nil, fmt.Errorf("no leaf has seen the effect of the new configuration")
	}
	var violations []string
	for _, s := range all {
		service := ranOn(s.id)
		if late := s.at.Sub(seen); late > rollbackSlack && (service == "far-old" || service == "near-old") {
			violations = append(violations, fmt.Sprintf("CONFIG: request %s (%s) was sent %s after a leaf had run %s (%s) as only version 8 allows, and ran on %s, as only version 7 allows",
				s.id, s.uri, late.Round(time.Millisecond), seenBy.id, seenBy.uri, service))
		}
	}
	return violations, nil
}

// firstRun returns when a leaf of a service with the suffix has first run the request.
func firstRun(leafs []*leaf, id, suffix string) (time.Time, bool) {
	for _, f := range leafs {
		f.mu.Lock()
		at, ran := f.ranAt[id]
		f.mu.Unlock()
		if ran && f.service[len(f.service)-len(suffix):] == suffix {
			return at, true
		}
	}
	return time.Time{}, false
}
