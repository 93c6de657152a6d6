//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	node   string
	sent   time.Time
	status int
	err    error
}

// load sends requests to all instances, each from one caller with a kept connection.
type load struct {
	w      *world
	method string
	path   string
	every  time.Duration
	stop   chan struct{}
	done   sync.WaitGroup
	lastID atomic.Int64

	mu       sync.Mutex
	outcomes map[string]outcome
}

const (
	clientHost     = "orders.example"
	clientDeadline = 5 * time.Second
)

// startLoad starts some callers of each instance, which send a request each interval on average.
func startLoad(w *world, callers int, method, path string, every time.Duration) *load {
	l := &load{w: w, method: method, path: path, every: every, stop: make(chan struct{}), outcomes: make(map[string]outcome)}
	for _, n := range w.nodes {
		for range callers {
			l.done.Go(func() { l.call(n) })
		}
	}
	return l
}

func (l *load) call(n *node) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	next := time.Now()
	for {
		// The rate does not depend on how soon the answers arrive, unless they take longer than the interval.
		next = next.Add(l.every/2 + rand.N(l.every))
		if now := time.Now(); next.Before(now) {
			next = now
		}
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(next)):
		}
		l.request(client, n)
	}
}

func (l *load) request(client *http.Client, n *node) {
	id := fmt.Sprintf("%016x", l.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	var body io.Reader
	if l.method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	r, err := http.NewRequestWithContext(ctx, l.method, "http://"+n.caller+l.uri(id), body)
	if err != nil {
		panic(err)
	}
	r.Host = clientHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	o := outcome{node: n.name, sent: time.Now()}
	l.w.log("caller sends %s to %s", id, n.name)
	reply, err := client.Do(r)
	if err == nil {
		o.status = reply.StatusCode
		_, err = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
	}
	o.err = err
	l.w.log("caller gets %d for %s, error %v", o.status, id, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = o
}

// uri returns the path of a request: the path of the load, with the id of the request if it is a prefix.
func (l *load) uri(id string) string {
	if strings.HasSuffix(l.path, "/") {
		return l.path + id
	}
	return l.path
}

// end stops the load and waits for the requests under way.
func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}

// outcome returns how an attempt ended.
func (l *load) outcome(id string) outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[id]
}

// counts returns the numbers of successes and of other ends.
func (l *load) counts() (served, other int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		if o.err == nil && o.status >= 200 && o.status < 300 {
			served++
		} else {
			other++
		}
	}
	return served, other
}
