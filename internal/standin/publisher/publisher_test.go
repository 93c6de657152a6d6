package publisher_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/publisher"
	"apricotflow/internal/standin/replier"
)

func start(t *testing.T) *publisher.Publisher {
	t.Helper()
	p, err := publisher.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

func read(t *testing.T, p *publisher.Publisher, knownETag, prefer string) (int, string, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.Address()+"/v1/values/manifest", nil)
	assert.NilError(t, err)
	request.Header.Set("If-None-Match", knownETag)
	request.Header.Set("Prefer", prefer)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(raw), response.Header.Get("ETag"), nil
}

// Guards against a watch that misses a change, returns early or is counted more than once.
func TestWatchReturnsWhenValueChanges(t *testing.T) {
	p := start(t)
	status, _, _, err := read(t, p, "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
	assert.NilError(t, replier.Put(t.Context(), "http://"+p.Address()+"/v1/control/values/manifest", []byte("1")))
	_, body, tag, err := read(t, p, "", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "1")
	status, _, _, err = read(t, p, tag, "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotModified)
	time.AfterFunc(100*time.Millisecond, func() { p.Put("manifest", []byte("2")) })
	_, body, _, err = read(t, p, tag, "wait=30")
	assert.NilError(t, err)
	assert.Equal(t, body, "2")
	assert.Equal(t, p.Statistics().Reads["manifest"], 4)
}

// Guards against a stale service that shows new values, or that loses them when it recovers.
func TestStaleHidesNewValuesUntilItEnds(t *testing.T) {
	p := start(t)
	on, off := true, false
	p.Put("manifest", []byte("1"))
	p.Control(publisher.Control{Stale: &on})
	p.Put("manifest", []byte("2"))
	_, body, _, err := read(t, p, "", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "1")
	p.Control(publisher.Control{Stale: &off})
	_, body, _, err = read(t, p, "", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "2")
}

// Guards against a service that goes down and replies to an open watch or keeps it open, and against one that does not
// reply when it is up again.
func TestDownClosesWatchesWithoutReply(t *testing.T) {
	p := start(t)
	on, off := true, false
	p.Put("manifest", []byte("1"))
	_, _, tag, err := read(t, p, "", "")
	assert.NilError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { p.Control(publisher.Control{Down: &on}) })
	_, _, _, err = read(t, p, tag, "wait=30")
	assert.Assert(t, err != nil)
	p.Control(publisher.Control{Down: &off})
	_, _, _, err = read(t, p, "", "")
	assert.NilError(t, err)
}

// Guards against accepting a value above 1 MB, and against publishing a member list before its lag has passed.
func TestPutRefusesLargeValuesAndDelaysMembers(t *testing.T) {
	p := start(t)
	url := "http://" + p.Address() + "/v1/control/values/"
	assert.Assert(t, replier.Put(t.Context(), url+"manifest", make([]byte, 1<<20+1)) != nil)
	lag := 60000
	p.Control(publisher.Control{MembersLagMs: &lag})
	assert.NilError(t, replier.Put(t.Context(), url+"members", []byte("1")))
	_, err := replier.Get[any](t.Context(), "http://"+p.Address()+"/v1/values/members")
	assert.Assert(t, err != nil)
}
