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

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(line)
}

// Guards against log writes that block when nobody reads the output, and against dropped lines that are not counted.
func TestWriteNeverBlocksWhenOutputBlocked(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
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
