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
	// maxQueuedBytes limits the bytes queued on one connection: no message is queued while there are more.
	maxQueuedBytes = 16 << 20
	// maxReusedBatch is the maximum size in bytes of a write buffer that is kept for reuse.
	maxReusedBatch = 256 << 10
	// maxHelloBytes is the maximum size in bytes of the first message of an accepted connection, which is hello: until then,
	// the other end may be anyone.
	maxHelloBytes = 64 << 10
	// readBufferSize is the size of the read buffer in bytes.
	readBufferSize = 64 << 10
)

// stream implements jsonrpc2.ObjectStream with length-prefixed JSON objects. Writes are queued, so that a connection
// that accepts no bytes blocks no caller, and small messages share a system call.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// sizeLimit is the maximum size of a message in bytes.
	sizeLimit int
	// awaitsHello reports whether the next object must be hello. Only the reader uses it after the start.
	awaitsHello bool
	traffic     *traffic
	// epoch is the reference time of lastReceived and lastQueued.
	epoch time.Time
	// lastReceived is the time of the last bytes read, in nanoseconds since epoch.
	lastReceived atomic.Int64
	// lastQueued is the time of the last object queued, in nanoseconds since epoch.
	lastQueued atomic.Int64

	mu     sync.Mutex
	queue  []byte
	closed bool
	// writingBatch reports whether a batch taken from the queue is being written.
	writingBatch bool
	// wake holds a token while the queue is not empty or the stream is closed.
	wake chan struct{}
	// writerDone is closed when writeLoop returns.
	writerDone chan struct{}
}

func newStream(conn net.Conn, sizeLimit int, awaitsHello bool, t *traffic) *stream {
	s := &stream{
		conn: conn, sizeLimit: sizeLimit, awaitsHello: awaitsHello, traffic: t, epoch: time.Now(),
		wake: make(chan struct{}, 1), writerDone: make(chan struct{}),
	}
	s.reader = bufio.NewReaderSize(s, readBufferSize)
	go s.writeLoop()
	return s
}

// Read reads from the connection and records the time.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.lastReceived.Store(int64(time.Since(s.epoch)))
	}
	return n, err
}

// sinceReceived returns the time since the last bytes were read.
func (s *stream) sinceReceived() time.Duration {
	return time.Since(s.epoch) - time.Duration(s.lastReceived.Load())
}

// WriteObject queues an object. If it returns an error, no byte of the object is sent.
func (s *stream) WriteObject(object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > s.sizeLimit {
		return &SizeError{Bytes: len(data), Limit: s.sizeLimit}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return &ClosedError{}
	case len(s.queue) > maxQueuedBytes:
		return &QueueFullError{}
	}
	s.queue = binary.AppendUvarint(s.queue, uint64(len(data)))
	s.queue = append(s.queue, data...)
	s.lastQueued.Store(int64(time.Since(s.epoch)))
	countMessage(s.traffic.sent, data, len(data)+prefixSize(len(data)))
	s.wakeWriter()
	return nil
}

// ReadObject reads the next object.
func (s *stream) ReadObject(object any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	limit := s.sizeLimit
	if s.awaitsHello {
		limit = min(limit, maxHelloBytes)
	}
	if size > uint64(limit) {
		return &SizeError{Bytes: int(min(size, 1<<62)), Limit: limit}
	}
	s.awaitsHello = false
	data := make([]byte, size)
	if _, err := io.ReadFull(s.reader, data); err != nil {
		return err
	}
	countMessage(s.traffic.received, data, len(data)+prefixSize(len(data)))
	if u, ok := object.(json.Unmarshaler); ok {
		// It checks the data itself, and json.Unmarshal would check all of it once more before.
		return u.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, object)
}

// prefixSize returns the size in bytes of the length prefix of an object.
func prefixSize(length int) int {
	var buffer [binary.MaxVarintLen64]byte
	return binary.PutUvarint(buffer[:], uint64(length))
}

// sinceQueued returns the time since the last object was queued.
func (s *stream) sinceQueued() time.Duration {
	return time.Since(s.epoch) - time.Duration(s.lastQueued.Load())
}

// Close closes the connection; queued objects may be lost.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closed = true
	s.wakeWriter()
	s.mu.Unlock()
	return s.conn.Close()
}

// flush waits until all queued objects have been written, at most for the timeout.
func (s *stream) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		done := s.closed || len(s.queue) == 0 && !s.writingBatch
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// wakeWriter tells writeLoop that the queue or closed has changed.
func (s *stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes the queue in batches until the stream is closed or a write fails.
func (s *stream) writeLoop() {
	defer close(s.writerDone)
	var batch []byte
	for range s.wake {
		s.mu.Lock()
		batch, s.queue = s.queue, batch[:0]
		closed := s.closed
		s.writingBatch = true
		s.mu.Unlock()
		if closed {
			return
		}
		if _, err := s.conn.Write(batch); err != nil {
			// The reader detects the closed connection and fails the calls in flight.
			_ = s.Close()
			return
		}
		if cap(batch) > maxReusedBatch {
			batch = nil
		}
		s.mu.Lock()
		s.writingBatch = false
		s.mu.Unlock()
	}
}
