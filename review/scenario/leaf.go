//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// leaf is a stand-in for a leaf. A sound one answers each request once, with its signature and the id of the request.
type leaf struct {
	world    *world
	id       string
	service  string
	zone     string
	slots    int
	queue    int
	listener net.Listener
	// work returns how long a request takes.
	work func() time.Duration
	// body returns the body of the answer to a request.
	body func(id string) []byte
	// late returns bytes that a faulty leaf sends late after an answer, at the point where the next answer is expected;
	// nil for none.
	late func(id string, refused bool, answer []byte) []byte
	// shed reports whether a leaf that sheds part of its requests refuses this one.
	shed func() bool
	// cutOff reports whether a connection comes from a machine that is cut off from the leaf.
	cutOff func(remote net.Addr) bool

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	runs    map[string]int
	stamps  map[string]string
	// ranAt holds when the first run of a request began.
	ranAt map[string]time.Time
	// all holds the runs that have ended.
	all   []leafRun
	conns map[net.Conn]bool
}

// leafRun is a run of a request.
type leafRun struct {
	id           string
	began, ended time.Time
	// planned is how long the run takes unless its connection is closed.
	planned time.Duration
}

func (w *world) newLeaf(id, service, zone string, slots, queue int) (*leaf, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &leaf{
		world: w, id: id, service: service, zone: zone, slots: slots, queue: queue, listener: l, runs: make(map[string]int), stamps: make(map[string]string),
		work: func() time.Duration { return 20 * time.Millisecond },
		body: func(id string) []byte { return []byte("result of " + id) },
		late: func(string, bool, []byte) []byte { return nil },
		shed: func() bool { return false }, cutOff: func(net.Addr) bool { return false }, conns: make(map[net.Conn]bool), ranAt: make(map[string]time.Time),
	}
	f.free = sync.NewCond(&f.mu)
	go f.accept()
	return f, nil
}

// register writes the entry of the leaf.
func (f *leaf) register(state string, seq int) {
	f.world.store.put("servers/"+f.id, map[string]any{
		"service": f.service, "address": f.listener.Addr().String(), "zone": f.zone, "version": "v1", "slots": f.slots, "state": state,
		"warmup_left_ms": 0, "seq": seq, "born": f.world.start.UnixMilli(),
	})
}

func (f *leaf) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

// resetCutOff resets the open connections from machines that are cut off.
func (f *leaf) resetCutOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		if f.cutOff(conn.RemoteAddr()) {
			reset(conn)
		}
	}
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve serves one request at a time on the connection.
func (f *leaf) serve(conn net.Conn) {
	if f.cutOff(conn.RemoteAddr()) {
		reset(conn)
		return
	}
	f.mu.Lock()
	f.conns[conn] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.conns, conn)
		f.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var pending []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if f.cutOff(conn.RemoteAddr()) {
			reset(conn)
			return
		}
		if pending != nil {
			// The bytes after the answer before arrive only now.
			if _, err := conn.Write(pending); err != nil {
				return
			}
		}
		id := request.Header.Get("X-Request-Id")
		answer, refused, gone := f.handle(conn, reader, request, id)
		if gone {
			f.world.logf("leaf %s: connection of %s closed by its caller", f.id, id)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if pending = f.late(id, refused, answer); pending != nil {
			f.world.logf("leaf %s: more bytes are to follow the answer to %s", f.id, id)
		}
	}
}

// handle returns the answer to a request, whether it refuses the request, and whether its connection was closed.
func (f *leaf) handle(conn net.Conn, reader *bufio.Reader, request *http.Request, id string) (answer []byte, refused, gone bool) {
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != f.id {
		return encodeAnswer(http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", nil), true, false
	}
	if f.shed() || !f.enter() {
		f.world.logf("leaf %s: refuses %s", f.id, id)
		return encodeAnswer(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", nil), true, false
	}
	defer f.leave()
	f.mu.Lock()
	f.runs[id]++
	run := f.runs[id]
	if run == 1 {
		f.ranAt[id] = time.Now()
	}
	stamp := fmt.Sprintf("%s.%s.%d", f.id, id, run)
	f.stamps[id] = stamp
	f.mu.Unlock()
	f.world.logf("leaf %s: runs %s %s %s, run %d", f.id, request.Method, request.RequestURI, id, run)
	d := f.work()
	one := leafRun{id: id, began: time.Now(), planned: d}
	closed := isClosedWithin(conn, reader, d)
	one.ended = time.Now()
	f.mu.Lock()
	f.all = append(f.all, one)
	f.mu.Unlock()
	if closed {
		return nil, false, true
	}
	return encodeAnswer(http.StatusOK, id, "X-Server-Stamp: "+stamp+"\r\n", f.body(id)), false, false
}

// enter takes a slot, after a wait in the queue if all are taken. It reports whether there was room.
func (f *leaf) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running >= f.slots {
		if f.waiting >= f.queue {
			return false
		}
		f.waiting++
		for f.running >= f.slots {
			f.free.Wait()
		}
		f.waiting--
	}
	f.running++
	return true
}

func (f *leaf) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.free.Signal()
}

// runCount returns how often the leaf has run the request.
func (f *leaf) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// signed reports whether the leaf has given this signature for the request.
func (f *leaf) signed(id, stamp string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return stamp != "" && f.stamps[id] == stamp
}

// isClosedWithin waits for a time and reports whether the caller closed the connection meanwhile.
func isClosedWithin(conn net.Conn, reader *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	if conn.SetReadDeadline(time.Now().Add(d)) != nil {
		return true
	}
	_, err := reader.Peek(1)
	if err == nil {
		// The next request is there already; the answer to this one still takes its time.
		time.Sleep(d)
	}
	if conn.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// encodeAnswer encodes an answer. A header line ends with CRLF; without an id there is no line for it.
func encodeAnswer(status int, id, header string, body []byte) []byte {
	raw := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		raw += "X-Request-Id: " + id + "\r\n"
	}
	raw += header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(raw), body...)
}
