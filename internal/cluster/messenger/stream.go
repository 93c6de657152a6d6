package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLimit bounds the bytes waiting on one connection beyond the largest message.
	queueLimit = 16 << 20
	// batchKept is the largest write buffer in bytes that is used again.
	batchKept = 256 << 10
	// readBuffer is the size of the read buffer in bytes.
	readBuffer = 64 << 10
)

// stream carries length-prefixed JSON objects. Writes are queued, so that a connection that accepts no bytes blocks
// no caller, and small messages share a system call.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// limit is the size of the largest message in bytes.
	limit   int
	traffic *traffic
	// epoch is the time that received and sent count from.
	epoch time.Time
	// received is the time of the last bytes read, since epoch.
	received atomic.Int64
	// sent is the time of the last object queued, since epoch.
	sent atomic.Int64

	mu     sync.Mutex
	queue  []byte
	closed bool
	// writing tells that a batch has left the queue and is being written.
	writing bool
	// wake holds a token while the queue is not empty or the stream is closed.
	wake chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
}

func newStream(conn net.Conn, limit int, t *traffic) *stream {
	s := &stream{
		conn: conn, limit: limit, traffic: t, epoch: time.Now(),
		wake: make(chan struct{}, 1), written: make(chan struct{}),
	}
	s.reader = bufio.NewReaderSize(s, readBuffer)
	go s.write()
	return s
}

// Read reads from the connection and notes the time.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.received.Store(int64(time.Since(s.epoch)))
	}
	return n, err
}

// idle returns the time since the last bytes were read.
func (s *stream) idle() time.Duration {
	return time.Since(s.epoch) - time.Duration(s.received.Load())
}

// WriteObject queues an object. After an error no byte of it is sent.
func (s *stream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > s.limit {
		return &SizeError{Bytes: len(data), Limit: s.limit}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return &ClosedError{}
	case len(s.queue) > queueLimit:
		return &QueueError{}
	}
	s.queue = binary.AppendUvarint(s.queue, uint64(len(data)))
	s.queue = append(s.queue, data...)
	s.sent.Store(int64(time.Since(s.epoch)))
	count(s.traffic.sent, data, len(data)+prefixSize(len(data)))
	s.signal()
	return nil
}

// ReadObject reads the next object.
func (s *stream) ReadObject(object any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > uint64(s.limit) {
		return &SizeError{Bytes: int(min(size, 1<<62)), Limit: s.limit}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(s.reader, data); err != nil {
		return err
	}
	count(s.traffic.received, data, len(data)+prefixSize(len(data)))
	return json.Unmarshal(data, object)
}

// prefixSize returns the size of the length before an object.
func prefixSize(length int) int {
	var buffer [binary.MaxVarintLen64]byte
	return binary.PutUvarint(buffer[:], uint64(length))
}

// quiet returns the time since the last object was queued.
func (s *stream) quiet() time.Duration {
	return time.Since(s.epoch) - time.Duration(s.sent.Load())
}

// Close ends the stream; what is queued may be lost.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	return s.conn.Close()
}

// flush waits until the queue has been written, at most for the duration.
func (s *stream) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		done := s.closed || len(s.queue) == 0 && !s.writing
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) write() {
	defer close(s.written)
	var batch []byte
	for range s.wake {
		s.mu.Lock()
		batch, s.queue = s.queue, batch[:0]
		closed := s.closed
		s.writing = true
		s.mu.Unlock()
		if closed {
			return
		}
		if _, err := s.conn.Write(batch); err != nil {
			// The reader sees the closed connection and ends the calls in flight.
			_ = s.Close()
			return
		}
		if cap(batch) > batchKept {
			batch = nil
		}
		s.mu.Lock()
		s.writing = false
		s.mu.Unlock()
	}
}
