//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// One of departEach callers leaves, within maxStay.
	departEach = 4
	maxStay    = 250 * time.Millisecond
	// nextRequestDelay is the time after which a caller sends its next request, before it has an answer.
	nextRequestDelay = 20 * time.Millisecond
	// departWork is the time that a target takes for a request.
	departWork = 900 * time.Millisecond
	// departTime is how long callers come.
	departTime = 8 * time.Second
	// goneTime is the time after a departure from which work counts, atWorkShare the share of the requests that may still be at
	// work then, and fewRequests the number of requests that may reach a target later.
	goneTime    = 500 * time.Millisecond
	atWorkShare = 0.25
	fewRequests = 5
)

// departures holds when callers have left, by the ids of their requests.
type departures struct {
	mu sync.Mutex
	at map[string]time.Time
	n  int
}

// runDepartures lets callers that send their next request before they have an answer leave before their deadline.
func runDepartures(w *world) error {
	s := newStore()
	w.onClose(s.close)
	s.put("op/config", lookupConfig())
	var leafs []*leaf
	for i := range 9 {
		l, err := newLeaf(w, fmt.Sprintf("i-%08x", 0x6d3a9000+i), lookupService, zones[i%len(zones)], departWork)
		if err != nil {
			return err
		}
		if err := l.start(time.Now().Add(-time.Minute)); err != nil {
			return err
		}
		w.onClose(l.stop)
		s.put("servers/"+l.id, l.entry("ready"))
		leafs = append(leafs, l)
	}
	for i, zone := range zones {
		if _, err := w.addNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n, s.address()); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	d := &departures{at: make(map[string]time.Time)}
	end := time.Now().Add(departTime)
	var callers sync.WaitGroup
	for _, n := range w.nodes {
		for range 8 {
			callers.Go(func() {
				for time.Now().Before(end) {
					d.call(w, n)
					time.Sleep(rand.N(200 * time.Millisecond))
				}
			})
		}
	}
	callers.Wait()
	time.Sleep(2 * departWork)
	return d.judge(w, leafs)
}

// call sends two requests on a new connection, the second one before it has an answer to the first, and reads their answers unless it leaves before.
func (d *departures) call(w *world, n *node) {
	conn, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	d.mu.Lock()
	d.n++
	leaves := w.trouble && d.n%departEach == 0
	ids := []string{fmt.Sprintf("%016x", 2*d.n), fmt.Sprintf("%016x", 2*d.n+1)}
	d.mu.Unlock()
	for _, id := range ids {
		w.log("caller sends %s to %s", id, n.name)
		_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
			lookupPath, id, clientHost, id, clientDeadline.Milliseconds())
		if err != nil {
			return
		}
		time.Sleep(nextRequestDelay)
	}
	if leaves {
		time.Sleep(rand.N(maxStay))
		_ = conn.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, id := range ids {
			d.at[id] = time.Now()
		}
		w.log("caller of %s and %s leaves", ids[0], ids[1])
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientDeadline))
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		reply, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.log("caller gets no answer to %s: %v", id, err)
			return
		}
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
		w.log("caller gets %d for %s", reply.StatusCode, id)
	}
}

// judge checks that few requests reach targets long after their callers have left, and that targets have dropped most of the
// others.
func (d *departures) judge(w *world, leafs []*leaf) error {
	late, long, atWork := 0, 0, 0
	for _, l := range leafs {
		for _, a := range l.arrivalsAfter(time.Time{}) {
			left, found := d.at[a.id]
			if !found {
				continue
			}
			gone := left.Add(goneTime)
			if a.at.After(gone) {
				late++
				w.log("late: %s reached %s %.3f s after its caller had left", a.id, a.target, a.at.Sub(left).Seconds())
			}
			if a.at.Before(gone) && a.at.Add(departWork).After(gone) {
				long++
				if ended := l.endOf(a.id); ended.IsZero() || ended.After(gone) {
					atWork++
				}
			}
		}
	}
	w.log("callers that left: %d of %d; requests that reached a target over %v later: %d; still at work then: %d of %d that would have lasted so long",
		len(d.at)/2, d.n, goneTime, late, atWork, long)
	if late > fewRequests || float64(atWork) > atWorkShare*float64(max(long, 1)) {
		return fmt.Errorf("%w: GONE, %d late requests, %d of %d at work", errBroken, late, atWork, long)
	}
	return nil
}
