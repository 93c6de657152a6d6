package authenticator_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/wire/encoder"
)

func tenant(name string, keys ...string) encoder.Tenant {
	digests := make([]string, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, authenticator.NewDigest(key).String())
	}
	return encoder.Tenant{Name: name, KeyDigests: digests}
}

// Guards against a key that finds no tenant or that of another key.
func TestFindReturnsTenantOfKey(t *testing.T) {
	tenants := authenticator.New([]encoder.Tenant{tenant("a", "k1", "k2"), tenant("b", "k3")}, func(path, message string) {
		t.Errorf("%s: %s", path, message)
	})
	for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		found, ok := tenants.Find(authenticator.NewDigest(key))
		assert.Assert(t, ok, key)
		assert.Equal(t, found.Name, name)
	}
	for _, key := range []string{"", "k", "k4"} {
		_, ok := tenants.Find(authenticator.NewDigest(key))
		assert.Assert(t, !ok, key)
	}
	_, ok := tenants.Find(authenticator.Digest{})
	assert.Assert(t, !ok)
}

// Guards against invalid tenants that are not reported, each with its path, and against a report that shows a key which was
// entered in place of its digest.
func TestNewReportsEveryProblem(t *testing.T) {
	secret := "secret-key"
	entries := []encoder.Tenant{
		tenant("a", "k1"), tenant("b", "k1"), tenant("", "k2"), tenant("a", "k3"),
		{Name: "c", Rate: -1, Burst: math.Inf(1)},
		{Name: "d", Rate: math.NaN(), KeyDigests: []string{secret, ""}},
	}
	var paths []string
	authenticator.New(entries, func(path, message string) {
		paths = append(paths, path)
		assert.Assert(t, !strings.Contains(message, secret), message)
	})
	assert.DeepEqual(t, paths, []string{
		"[1].key-digests[0]", "[2].name", "[3].name", "[4].rate", "[4].burst", "[5].rate", "[5].key-digests[0]", "[5].key-digests[1]",
	})
}

// BenchmarkFind measures the look-up of one key among 100,000 keys of 10,000 tenants.
func BenchmarkFind(b *testing.B) {
	tenants := authenticator.New(manyTenants(), func(path, message string) { b.Errorf("%s: %s", path, message) })
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, found := tenants.Find(authenticator.NewDigest(fmt.Sprintf("key-%d-%d", n%10_000, n%10))); !found {
			b.Fatal("key not found")
		}
	}
}

// BenchmarkNew measures a new version with 100,000 keys of 10,000 tenants.
func BenchmarkNew(b *testing.B) {
	entries := manyTenants()
	b.ReportAllocs()
	for b.Loop() {
		authenticator.New(entries, func(path, message string) { b.Errorf("%s: %s", path, message) })
	}
}

func manyTenants() []encoder.Tenant {
	entries := make([]encoder.Tenant, 0, 10_000)
	for i := range cap(entries) {
		keys := make([]string, 0, 10)
		for k := range cap(keys) {
			keys = append(keys, fmt.Sprintf("key-%d-%d", i, k))
		}
		entries = append(entries, tenant(fmt.Sprintf("tenant-%d", i), keys...))
	}
	return entries
}
