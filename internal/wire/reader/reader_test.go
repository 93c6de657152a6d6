package reader_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/wire/reader"
)

const maxBody = 256 << 10

// read reads the first reply from a sender of the given bytes, which then closes the connection.
func read(t *testing.T, budget *reader.Budget, raw string) (reader.Reply, error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, raw)
		_ = far.Close()
	}()
	defer func() { assert.NilError(t, near.Close()) }()
	r := reader.New(near, maxBody, budget)
	if err := r.Await(); err != nil {
		return reader.Reply{}, err
	}
	return r.Read(http.MethodGet)
}

func ok(header, body string) string { return "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body }

// Guards against limits that refuse a reply which is allowed, and against replies above a limit that are accepted.
func TestReplyIsReadUpToLimits(t *testing.T) {
	large, tooLarge := strings.Repeat("x", maxBody), strings.Repeat("x", maxBody+1)
	line := "X-Line: " + strings.Repeat("x", 1000) + "\r\n"
	continued := "HTTP/1.1 100 Continue\r\n\r\n"
	cases := []struct {
		name, raw string
		size      int // of the body; -1 for a reply above a limit
	}{
		{"stated length", ok("Content-Length: 3\r\n", "abc"), 3},
		{"stated length at the limit", ok("Content-Length: "+strconv.Itoa(maxBody)+"\r\n", large), maxBody},
		{"stated length above the limit", ok("Content-Length: "+strconv.Itoa(maxBody+1)+"\r\n", tooLarge), -1},
		{"no length at the limit", ok("", large), maxBody},
		{"no length above the limit", ok("", tooLarge), -1},
		{"chunk at the limit", ok("Transfer-Encoding: chunked\r\n", strconv.FormatInt(maxBody, 16)+"\r\n"+large+"\r\n0\r\n\r\n"), maxBody},
		{"chunk above the limit", ok("Transfer-Encoding: chunked\r\n", strconv.FormatInt(maxBody+1, 16)+"\r\n"+tooLarge+"\r\n0\r\n\r\n"), -1},
		{"head below the limit", ok(strings.Repeat(line, 60), ""), 0},
		{"head above the limit", ok(strings.Repeat(line, 70), ""), -1},
		{"informational replies", continued + continued + ok("Content-Length: 3\r\n", "abc"), 3},
		{"too many informational replies", strings.Repeat(continued, 10) + ok("", ""), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply, err := read(t, reader.NewBudget(1<<20), c.raw)
			if c.size < 0 {
				var limit *reader.LimitError
				assert.Assert(t, errors.As(err, &limit), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Body), c.size)
		})
	}
}

// Guards against large bodies on many connections that together fill the memory, and against a budget that is not put
// back after a body, also a broken one.
func TestLargeBodiesShareBudget(t *testing.T) {
	budget := reader.NewBudget(300 << 10)
	large := ok("", strings.Repeat("x", 200<<10))
	near, far := net.Pipe()
	defer func() { assert.NilError(t, near.Close()) }()
	first := make(chan error, 1)
	go func() {
		r := reader.New(near, maxBody, budget)
		_, err := r.Read(http.MethodGet)
		first <- err
	}()
	_, err := io.WriteString(far, large)
	assert.NilError(t, err)
	_, err = read(t, budget, large)
	var limit *reader.LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
	assert.NilError(t, far.Close())
	assert.NilError(t, <-first)
	_, err = read(t, budget, ok("Content-Length: "+strconv.Itoa(maxBody)+"\r\n", strings.Repeat("x", 100<<10)))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	_, err = read(t, budget, large)
	assert.NilError(t, err)
}

// Guards against heads, chunk sizes and trailers that crash the reader, keep it busy after the end of the connection, or
// yield a body above the limit.
func FuzzRead(f *testing.F) {
	for _, raw := range []string{
		ok("Content-Length: 3\r\n", "abc"), ok("", "abc"), ok("Content-Length: -1\r\n", ""), ok("Content-Length: 99999999999999999999\r\n", ""),
		ok("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), ok("Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\nabc"),
		ok("Transfer-Encoding: chunked\r\n", "3;"+strings.Repeat("e", 5000)+"\r\nabc\r\n0\r\nX-Trailer: "+strings.Repeat("t", 9000)+"\r\n\r\n"),
		"HTTP/1.1 100 Continue\r\n\r\n" + ok("Content-Length: 0\r\n", ""), "HTTP/1.1 204 No Content\r\n\r\nabc", "\x00\x01 this is no reply\r\n\r\n", "HTTP/9.9 999\n\n",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		start := time.Now()
		reply, err := read(t, reader.NewBudget(1<<20), string(raw))
		if err == nil && len(reply.Body) > maxBody {
			t.Errorf("body of %d bytes", len(reply.Body))
		}
		if err == nil && !bytes.Contains(raw, reply.Body[:min(len(reply.Body), 1)]) {
			t.Errorf("body with bytes that were not sent")
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("read took %s", took)
		}
	})
}

// Guards against a reply whose sender has stopped in the middle of its head, or of a body with a stated end, and that is
// taken for a whole one with an empty or short body.
func TestReplyThatBreaksOffIsRefused(t *testing.T) {
	for _, whole := range []string{
		ok("X-Request-Id: r1\r\nContent-Length: 20\r\n", strings.Repeat("x", 20)),
		ok("Content-Length: 0\r\nConnection: close\r\n", ""),
		ok("Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"),
		"HTTP/1.1 100 Continue\r\n\r\n" + ok("Content-Length: 3\r\n", "abc"),
		"HTTP/1.1 204 No Content\r\nX-Request-Id: r1\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
	} {
		_, err := read(t, reader.NewBudget(1<<20), whole)
		assert.NilError(t, err)
		for n := range len(whole) {
			reply, err := read(t, reader.NewBudget(1<<20), whole[:n])
			assert.Assert(t, err != nil, "%q is taken for a reply with status %d and body %q", whole[:n], reply.Status, reply.Body)
		}
	}
	// A reply without a stated length ends with its connection, but its head does not.
	head := ok("X-Request-Id: r1\r\n", "")
	for n := range len(head) {
		reply, err := read(t, reader.NewBudget(1<<20), head[:n])
		assert.Assert(t, err != nil, "%q is taken for a reply with status %d and body %q", head[:n], reply.Status, reply.Body)
	}
}

// Guards against a reply with the status 000 that counts as informational, so that its request waits for another one until
// its deadline, and against one whose body without end is awaited first.
func TestStatusBelow100IsAnErrorAtOnce(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 \r\nX-Request-Id: r1\r\n\r\n", "HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n",
	} {
		near, far := net.Pipe()
		// The sender keeps the connection open.
		go func() { _, _ = io.WriteString(far, raw) }()
		failed := make(chan error, 1)
		go func() {
			_, err := reader.New(near, maxBody, reader.NewBudget(1<<20)).Read(http.MethodGet)
			failed <- err
		}()
		select {
		case err := <-failed:
			var status *reader.StatusError
			assert.Assert(t, errors.As(err, &status), "%v", err)
		case <-time.After(time.Second):
			t.Errorf("%q is still waited for after 1 s", raw)
		}
		assert.NilError(t, near.Close())
		assert.NilError(t, far.Close())
	}
}
