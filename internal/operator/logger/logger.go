// Package logger writes the log lines of a relaying instance in the background; in native mode, logs are written
// directly. It limits the rate of lines and the length of the queue, so that a slow reader or a flood of lines never
// delays other work. Lines beyond the limits are dropped and counted. Formatting them as JSON is left to the logger
// that package assembler creates.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond and maxBurstLines limit the rate of lines, because writing them costs processor time.
	maxLinesPerSecond = 200
	maxBurstLines     = 400
)

// Writer writes lines in the background. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// unreportedDropped is the number of dropped lines that the log does not report yet.
	unreportedDropped atomic.Int64
	totalDropped      atomic.Int64

	mu     sync.Mutex
	closed bool
	// tokens is the number of lines that could be accepted at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// New creates a writer to out. It must be closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: maxBurstLines, refilledAt: time.Now()}
	go w.run()
	return w
}

// Write queues one line, or drops it if the rate limit is exceeded, the queue is full or the writer is closed. It never
// blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.takeToken() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.unreportedDropped.Add(1)
	w.totalDropped.Add(1)
}

// takeToken refills the token bucket and takes a token. It reports whether there was one.
func (w *Writer) takeToken() bool {
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*maxLinesPerSecond, maxBurstLines)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.totalDropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.unreportedDropped.Swap(0); n > 0 {
			// The line has the format of the other lines: see newRelayLogger in package assembler.
			line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n), line...)
		}
		// There is nowhere else to report that the log cannot be written.
		_, _ = w.out.Write(line)
	}
}

// Close writes the queued lines and stops the writer. Lines written later are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
