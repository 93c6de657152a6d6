package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/logger"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(line)
}

// Logging must not delay work when nobody reads the log, and must tell what was left out.
func TestWriteNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := logger.New(out)
	start := time.Now()
	for range 10_000 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, w.Dropped() >= 9_000, w.Dropped())
	close(out.release)
	w.Close()
	assert.Equal(t, strings.Count(out.written.String(), "line\n")+int(w.Dropped()), 10_000)
	_, err := w.Write([]byte("late\n"))
	assert.NilError(t, err)
}
