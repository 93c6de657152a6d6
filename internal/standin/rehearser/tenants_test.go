package rehearser_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/forwarder"
	"apricotflow/internal/standin/rehearser"
	"apricotflow/platform"
)

// applyLimit is the time in which a change of the configuration has to be in force on all instances.
const applyLimit = 3 * time.Second

// awaitSearch waits until all instances answer searches with the header lines with the status.
func awaitSearch(t *testing.T, d *rehearser.Deployment, header http.Header, status int) {
	t.Helper()
	deadline := time.Now().Add(applyLimit)
	for i := range d.InstanceCount() {
		for {
			got, err := d.Search(t.Context(), i, header)
			assert.NilError(t, err)
			if got == status {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "instance %d answers with %d instead of %d", i, got, status)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against keys that come into force or are revoked late on an instance, also on one that the store does not serve,
// against a stranded instance whose callers' keys or tenants are lost on the way to another one, and against keys in what
// targets receive or operators read. The third instance has no targets of shards in its failure domain, so its searches are
// sent in batches through others.
func TestKeysTakeEffectEverywhereAndReachNoTarget(t *testing.T) {
	d := startDeployment(t)
	withKey := func(key string) http.Header {
		return http.Header{"Authorization": {"Token " + key}, platform.HeaderTenant: {"forged"}, platform.HeaderRequestID: {"r1"}}
	}
	acme := platform.Tenant{Name: "acme", Keys: []string{"secret-1", "secret-2"}}
	d.PublishTenants(acme)
	awaitSearch(t, d, nil, http.StatusUnauthorized)
	inForce := time.Now()
	awaitSearch(t, d, withKey("secret-1"), http.StatusOK)
	// The second instance follows nobody, because its failure domain is too small.
	d.SetStoreLink(1, forwarder.ModeCut)
	acme.Keys = []string{"secret-2"}
	d.PublishTenants(acme)
	awaitSearch(t, d, withKey("secret-1"), http.StatusUnauthorized)
	d.SetStoreLink(1, forwarder.ModeNormal)
	d.Strand(1, forwarder.ModeCut)
	// The instance notices with its first requests that it is stranded; these may fail.
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(20 * time.Millisecond) {
		_, err := d.Search(t.Context(), 1, withKey("secret-2"))
		assert.NilError(t, err)
	}
	for i := range 40 {
		status, err := d.Search(t.Context(), i%d.InstanceCount(), withKey("secret-2"))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		status, err = d.Order(t.Context(), i%d.InstanceCount(), nil)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	acme.Keys = nil
	d.PublishTenants(acme)
	awaitSearch(t, d, withKey("secret-2"), http.StatusUnauthorized)
	assert.DeepEqual(t, d.ForeignTenants("acme", inForce), []string(nil))
	for i := range d.InstanceCount() {
		published, err := d.Published(t.Context(), i)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(published, "callers are refused") && !strings.Contains(published, "secret"), "instance %d", i)
		assert.Assert(t, i != 1 || strings.Contains(published, `"delegator-handed-over"`), "nothing was handed over")
		assert.Assert(t, i != 2 || strings.Contains(published, `"concentrator-batches"`), "nothing was sent in batches")
	}
}
