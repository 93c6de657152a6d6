// Package logger writes structured log lines to a bounded queue, so that a slow reader or a flood of lines never delays
// the work that they tell of.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait to be written at most.
	queueLines = 1024
	// linesPerSecond and burstLines bound the lines written, which cost processor time like any other work.
	linesPerSecond = 200
	burstLines     = 400
)

// Writer writes lines in the background. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts the lines that were left out since the last line that tells so.
	dropped atomic.Int64
	total   atomic.Int64

	mu     sync.Mutex
	closed bool
	// tokens is the number of lines that may be written now, as of filled.
	tokens float64
	filled time.Time
}

// New creates a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines, filled: time.Now()}
	go w.run()
	return w
}

// Write queues one line, or drops it when lines come faster than they may be written. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.take() {
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
	w.dropped.Add(1)
	w.total.Add(1)
}

// take uses a token if there is one.
func (w *Writer) take() bool {
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond, burstLines)
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines that were left out so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n), line...)
		}
		// A log that cannot be written has no other place to say so.
		_, _ = w.out.Write(line)
	}
}

// Close writes the lines in the queue and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
