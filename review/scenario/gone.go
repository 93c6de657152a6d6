//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["left-clients"] = playLeftClients }

// playLeftClients: some clients leave before they have an answer. Rule GONE: half a second
// after a client has left, leafs are still at work on at most a quarter of its requests that would have lasted so long.
func playLeftClients(w *world) ([]string, error) {
	const (
		objective   = 600 * time.Millisecond
		deadline    = 5 * time.Second
		leavingPart = 0.3
		leavingTime = 8 * time.Second
		grace       = 500 * time.Millisecond
		warmUp      = 4 * time.Second
		length      = 16 * time.Second
		maxShare    = 0.25
	)
	d, err := w.startSharded(3, int(deadline.Milliseconds()), int(objective.Milliseconds()))
	if err != nil {
		return nil, err
	}
	for _, f := range d.leafs {
		f.work = func() time.Duration {
			x := rand.Float64()
			return time.Duration(60+900*x*x*x) * time.Millisecond
		}
	}
	// The machines know each other before the first clients come.
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	leftAt := make(map[string]time.Time)
	served := 0
	var clients sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		clients.Go(func() {
			c := w.newClient(strconv.Itoa(n), d.west.front)
			defer c.disconnect()
			id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
			if w.isOn(leavingTime) && time.Since(began) > warmUp && rand.Float64() < leavingPart {
				if err := c.connect(); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c.conn, "GET /bapu561/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", n, host, id, deadline.Milliseconds())
				time.Sleep(time.Duration(5+rand.IntN(30)) * time.Millisecond)
				c.disconnect()
				mu.Lock()
				leftAt[id] = time.Now()
				mu.Unlock()
				w.logf("client %s: leaves, without an answer to %s", c.name, id)
				return
			}
			if a := c.send(http.MethodGet, "/bapu561/"+strconv.Itoa(n), id, nil, deadline); a.err == nil && a.status == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(120 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2500 * time.Millisecond)
	long, atWork := 0, 0
	for _, f := range d.leafs {
		f.mu.Lock()
		for _, r := range f.all {
			left, found := leftAt[r.id]
			if !found || !r.began.Add(r.planned).After(left.Add(grace)) {
				continue
			}
			long++
			if r.ended.After(left.Add(grace)) {
				atWork++
			}
		}
		f.mu.Unlock()
	}
	w.logf("%d clients left, %d queries served; %d runs would have lasted %s longer than their client stayed, %d did", len(leftAt), served, long, grace, atWork)
	if served == 0 {
		return nil, fmt.Errorf("no query was served")
	}
	if long > 0 && float64(atWork) > maxShare*float64(long) {
		return []string{fmt.Sprintf("GONE: half a second after their clients had left, leafs were still at work in %d of %d runs that would have lasted so long", atWork, long)}, nil
	}
	return nil, nil
}
