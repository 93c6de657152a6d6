package reader_test

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/wire/reader"
)

func init() {
	_ = flag.Set("rapid.seed", "20261206")
	_ = flag.Set("rapid.nofailfile", "true")
}

// scriptedConn delivers bytes in pieces. Only Read is used.
type scriptedConn struct {
	net.Conn
	left string
	// first is the size of the first piece; the rest arrives at once.
	first int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.left == "" {
		return 0, io.EOF
	}
	n := len(c.left)
	if c.first > 0 {
		n, c.first = c.first, 0
	}
	n = copy(p, c.left[:n])
	c.left = c.left[n:]
	return n, nil
}

// describeReplies describes the replies on a connection and how they end.
func describeReplies(raw string, first int) string {
	r := reader.New(&scriptedConn{left: raw, first: first}, maxBody, reader.NewBudget(maxBody))
	var text strings.Builder
	for range 3 {
		if r.Await() != nil {
			break
		}
		reply, err := r.Read(http.MethodGet)
		if err != nil {
			// The texts of the errors differ where a body is cut off.
			text.WriteString("error")
			break
		}
		fmt.Fprintf(&text, "%d %v %q %v\n", reply.Status, reply.Header, reply.Body, reply.Closes)
	}
	return text.String()
}

// Guards against a reply that is decoded in another way when its head arrives at once, which is the usual case and is not left
// to net/http: in its status, headers, body, end of the connection, or in whether it is refused.
func TestReplyIsDecodedAlikeWhenItsHeadArrivesInPieces(t *testing.T) {
	lines := []string{
		"Content-Length: 3", "content-length:3", "Content-Length: 03", "Content-Length: +3", "Content-Length: -1", "Content-Length: ", "Content-Length: 9999999999",
		"Content-Length: 2, 3", "Transfer-Encoding: chunked", "Connection: close", "connection: keep-alive", "Trailer: X-End", "X-Empty:", "X-Load: 1,0,4", "x-server-stamp:  abc\t",
		" folded", "\tfolded", "X-Bad Name: 1", "X_Under: 1", "no colon", ": no name", "X-Text: caf\xe9", "X-Nul: a\x00b", "X-Line: a\nX-Next: b", "X-Return: a\rb", "Keep-Alive: timeout=30", "Pragma: no-cache",
	}
	starts := []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1  200 OK", "HTTP/1.1 +20 OK", "HTTP/1.0 200 OK", "HTTP/1.1 503 Busy", "HTTP/1.1 204 Empty", "HTTP/1.1 304 Same",
		"HTTP/1.1 100 Continue", "HTTP/1.1 700 Odd", "HTTP/1.1 20 Short", "HTTP/1.1 2000 Long", "HTTP/1.1 200 OK\nX-Split: 1", "http/1.1 200 OK", "HTTP/1.1 200 \x01",
	}
	ends := []string{"\r\n\r\n", "\n\n", "\r\n\n"}
	rapid.Check(t, func(t *rapid.T) {
		start := starts[0]
		if rapid.IntRange(0, 2).Draw(t, "usual start") == 0 {
			start = rapid.SampledFrom(starts).Draw(t, "start")
		}
		head := append([]string{start}, rapid.SliceOfN(rapid.SampledFrom(lines), 0, 4).Draw(t, "lines")...)
		raw := strings.Join(head, "\r\n") + rapid.SampledFrom(ends).Draw(t, "end") + rapid.SampledFrom([]string{"", "ab", "abc", "3\r\nabc\r\n0\r\n\r\n", "abcHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz"}).Draw(t, "body")
		assert.Equal(t, describeReplies(raw, 0), describeReplies(raw, 1), "%q", raw)
	})
}
