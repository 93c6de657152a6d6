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

// startLoad starts some callers of each instance, which pause for an interval on average after each answer.
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
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.every/2 + rand.N(l.every)):
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
	r, err := http.NewRequestWithContext(ctx, l.method, "http://"+n.caller+l.path+id, body)
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
