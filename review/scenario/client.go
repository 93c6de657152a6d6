//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a client with one kept connection.
type client struct {
	world  *world
	name   string
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) newClient(name, front string) *client {
	return &client{world: w, name: name, front: front}
}

// answer is what a client got for one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is the reason why there is no complete answer.
	err error
}

// connect opens the connection if there is none.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the kept connection and waits for its answer.
func (c *client) send(method, uri, id string, body []byte, deadline time.Duration) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	c.world.logf("client %s: sends %s %s %s", c.name, method, uri, id)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, host, id, deadline.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a := c.exchange(method, append([]byte(head+"\r\n"), body...), deadline)
	if a.err != nil || a.header.Get("Connection") == "close" {
		c.disconnect()
	}
	if a.err != nil {
		c.world.logf("client %s: no complete answer to %s: %v", c.name, id, a.err)
	} else {
		c.world.logf("client %s: gets %d for %s, signature %q, %d bytes", c.name, a.status, id, a.header.Get("X-Server-Stamp")+a.header.Get("X-Part-Stamps"), len(a.body))
	}
	return a
}

func (c *client) exchange(method string, raw []byte, deadline time.Duration) answer {
	if err := c.conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return answer{err: err}
	}
	if _, err := c.conn.Write(raw); err != nil {
		return answer{err: err}
	}
	return c.receive(method)
}

// receive reads the next final answer.
func (c *client) receive(method string) answer {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return answer{err: err}
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return answer{err: err}
		}
		if response.StatusCode >= http.StatusOK {
			if response.Close {
				response.Header.Set("Connection", "close")
			}
			return answer{status: response.StatusCode, header: response.Header, body: body}
		}
	}
}
