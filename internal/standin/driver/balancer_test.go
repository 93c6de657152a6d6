package driver_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/wire/encoder"
)

// Guards against queries to an entry that is not ready, which would count as cut off when the entry stops.
func TestBalancerSkipsEntriesThatAreNotReady(t *testing.T) {
	var late atomic.Int64
	began := time.Now()
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/ready" && time.Since(began) > time.Second {
			late.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(down.Close)
	s := newSettings(t, &fakeEntry{})
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(ready.Close)
	address := func(server *httptest.Server) string { return server.Listener.Addr().String() }
	s.Entries = []string{address(down), address(ready)}
	s.Balancer = driver.StartBalancer(t.Context(), s.Entries)
	s.Duration = 2 * time.Second
	r := driver.New(s).Run(t.Context())
	assert.Equal(t, late.Load(), int64(0))
	assert.Assert(t, r.Outcomes[encoder.QueryOutcomeComplete] == 0 && r.Sent == 400)
}
