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

// Guards against queries to an instance that has not been ready for a second, which would count as cut off when the
// instance stops. The ready server sends empty replies, so no outcome is complete.
func TestBalancerSkipsInstancesThatAreNotReady(t *testing.T) {
	var unreadyRequests atomic.Int64
	began := time.Now()
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/ready" && time.Since(began) > time.Second {
			unreadyRequests.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(down.Close)
	s := newSettings(t, &fakeInstance{})
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(ready.Close)
	address := func(server *httptest.Server) string { return server.Listener.Addr().String() }
	s.CallerAddresses = []string{address(down), address(ready)}
	s.Balancer = driver.StartBalancer(t.Context(), s.CallerAddresses)
	s.Duration = 2 * time.Second
	r := driver.New(s).Run(t.Context())
	assert.Equal(t, unreadyRequests.Load(), int64(0))
	assert.Assert(t, r.Outcomes[encoder.QueryOutcomeComplete] == 0 && r.Sent == 400)
}
