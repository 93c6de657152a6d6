//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() {
	scenarios["extra-bytes"] = playExtraBytes
	scenarios["second-refusal"] = playSecondRefusal
}

// disruptionPause is the time after which a disruption comes again.
const disruptionPause = time.Second

// isOn reports whether a disruption that lasts for d and comes again after a pause is on.
func (w *world) isOn(d time.Duration) bool {
	return w.trouble && time.Since(w.start)%(d+disruptionPause) < d
}

// startSingle starts one machine in front of some services with two leafs each. The path of service n begins with /n/.
func (w *world) startSingle(kind string, services, slots, queue, timeoutMs, objectiveMs int) (*instance, []*leaf, error) {
	const leafsPerService = 2
	var all []*leaf
	var routes []map[string]any
	var names []string
	for n := range services {
		name := fmt.Sprintf("kafi%02dc", n)
		for k := range leafsPerService {
			f, err := w.newLeaf(fmt.Sprintf("i-7f3a%02d%d", n, k), name, "east", slots, queue)
			if err != nil {
				return nil, nil, err
			}
			f.register("ready", 1)
			all = append(all, f)
		}
		routes = append(routes, route("r-"+name, fmt.Sprintf("/%d/", n), kind, name, timeoutMs, objectiveMs))
		names = append(names, name)
	}
	w.putConfig(7, routes, names, 38)
	i, err := w.newInstance("edge-east-1", "east")
	if err != nil {
		return nil, nil, err
	}
	if err := i.writeSettings([]string{i.control}); err != nil {
		return nil, nil, err
	}
	if err := i.run(); err != nil {
		return nil, nil, err
	}
	return i, all, i.waitReady(10 * time.Second)
}

// playExtraBytes: a leaf sends additional bytes after some of its answers, which arrive where the next answer is
// expected. Rule MIXED: a success has the signature of a leaf for this request, and the whole body.
func playExtraBytes(w *world) ([]string, error) {
	const (
		share       = 0.03
		garbledTime = 5 * time.Second
		length      = 24 * time.Second
	)
	i, leafs, err := w.startSingle("idempotent", 1, 3, 12, 5000, 500)
	if err != nil {
		return nil, err
	}
	for n, f := range leafs {
		f.late = func(string, bool, []byte) []byte {
			if n > 0 || !w.isOn(garbledTime) || rand.Float64() >= share {
				return nil
			}
			return encodeAnswer(http.StatusOK, "", "", []byte("additional"))
		}
	}
	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			c := w.newClient(strconv.Itoa(n), i.front)
			defer c.disconnect()
			for k, end := 0, time.Now().Add(length); time.Now().Before(end); k++ {
				id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, k)
				a := c.send(http.MethodGet, "/0/"+strconv.Itoa(k), id, nil, 5*time.Second)
				if a.err == nil && a.status/100 == 2 && !isWholeAnswer(leafs, id, a) {
					mu.Lock()
					violations = append(violations, fmt.Sprintf("MIXED: request %s got %d with signature %q and body %q, which no leaf has given for it", id, a.status, a.header.Get("X-Server-Stamp"), a.body))
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return violations, nil
}

// isWholeAnswer reports whether a leaf has signed the answer for the request and the body is that of the leaf.
func isWholeAnswer(leafs []*leaf, id string, a answer) bool {
	stamp := a.header.Get("X-Server-Stamp")
	return slices.ContainsFunc(leafs, func(f *leaf) bool { return f.signed(id, stamp) && bytes.Equal(a.body, f.body(id)) })
}

// playSecondRefusal: leafs shed part of their requests, and one of the two of each service sends some of its answers a second
// time, late, at the point where the next answer is expected. Rule TWICE: a request that is not idempotent runs once at most;
// rule REFUSED: one that got 503 has not run.
func playSecondRefusal(w *world) ([]string, error) {
	const (
		services          = 8
		clientsPerService = 2
		shedShare         = 0.4
		shedTime          = 9 * time.Second
		repeatShare       = 0.04
		repeatTime        = 5 * time.Second
		length            = 100 * time.Second
	)
	i, leafs, err := w.startSingle("non_idempotent", services, 3, 12, 5000, 500)
	if err != nil {
		return nil, err
	}
	for n, f := range leafs {
		f.work = func() time.Duration { return time.Duration(4+rand.IntN(6)) * time.Millisecond }
		f.shed = func() bool { return w.isOn(shedTime) && rand.Float64() < shedShare }
		f.late = func(_ string, _ bool, answer []byte) []byte {
			if n%2 > 0 || !w.isOn(repeatTime) || rand.Float64() >= repeatShare {
				return nil
			}
			return answer
		}
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var clients sync.WaitGroup
	for n := range services * clientsPerService {
		clients.Go(func() {
			c := w.newClient(strconv.Itoa(n), i.front)
			defer c.disconnect()
			for k, end := 0, time.Now().Add(length); time.Now().Before(end); k++ {
				id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, k)
				a := c.send(http.MethodPost, fmt.Sprintf("/%d/%d", n%services, k), id, []byte("order "+id), 5*time.Second)
				mu.Lock()
				statuses[id] = a.status
				mu.Unlock()
				time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	var violations []string
	served := 0
	for id, status := range statuses {
		runs := 0
		for _, f := range leafs {
			runs += f.runCount(id)
		}
		if status == http.StatusOK {
			served++
		}
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran %d times, its client got %d", id, runs, status))
		}
		if status == http.StatusServiceUnavailable && runs > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: request %s got 503 and ran %d times", id, runs))
		}
	}
	w.logf("%d requests, %d served", len(statuses), served)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return violations, nil
}
