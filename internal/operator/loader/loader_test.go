package loader_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/loader"
	"apricotflow/internal/wire/encoder"
)

const validSettings = `{"instance": "a", "failure-domain": "west",
 "caller-address": "0.0.0.0:7001", "peer-address": "10.0.0.1:7101", "admin-address": "127.0.0.1:7201",
 "platform-address": "10.0.0.9:7900", "seeds": ["10.0.0.1:7101", "10.0.0.2:7101"]}`

// Guards against a missing field that gets the zero value instead of the documented default. A concurrency of 0, for
// example, would admit no queries.
func TestParseAppliesDefaults(t *testing.T) {
	s, err := loader.Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Instance(), "a")
	assert.Equal(t, s.BalancerDelay(), 2*time.Second)
	assert.Equal(t, s.ShutdownTimeout(), 30*time.Second)
	assert.Equal(t, s.Concurrency(), 256)
	assert.Equal(t, s.StrictInvariants(), false)
	assert.Equal(t, s.LogLevel(), encoder.SettingsLogLevelInfo)
	assert.Equal(t, s.Policy(), loader.Policy{Routing: "owned", Selection: "least-loaded", ColdLimit: "lease", Hedging: true})
	assert.Equal(t, s.PlatformAddress(), netip.MustParseAddrPort("10.0.0.9:7900"))
	assert.Equal(t, len(s.Seeds()), 2)
}

// Guards against a default that overrides an explicit zero value.
func TestParseKeepsExplicitZeroValues(t *testing.T) {
	raw := strings.Replace(validSettings, `{`, `{"balancer-ms": 0, "policy": {"hedging": false, "routing": "direct"}, `, 1)
	s, err := loader.Parse([]byte(raw))
	assert.NilError(t, err)
	assert.Equal(t, s.BalancerDelay(), time.Duration(0))
	assert.Equal(t, s.Policy(), loader.Policy{Routing: "direct", Selection: "least-loaded", ColdLimit: "lease", Hedging: false})
}

// Guards against invalid settings that are accepted at the start and fail later, and against problems reported at a
// wrong path.
func TestParseReportsPathOfInvalidSetting(t *testing.T) {
	cases := []struct{ name, old, replacement, path string }{
		{"unknown field", `"instance": "a"`, `"instance": "a", "node": "b"`, "$.node"},
		{"unknown policy field", `{"instance"`, `{"policy": {"hedge": true}, "instance"`, "$.policy.hedge"},
		{"unknown policy", `{"instance"`, `{"policy": {"routing": "any"}, "instance"`, "$.policy.routing"},
		{"missing field", `"failure-domain": "west",`, ``, "$.failure-domain"},
		{"duplicate key", `"instance": "a"`, `"instance": "a", "instance": "b"`, "$.instance"},
		{"concurrency of zero", `{"instance"`, `{"concurrency": 0, "instance"`, "$.concurrency"},
		{"shutdown of zero", `{"instance"`, `{"shutdown-ms": 0, "instance"`, "$.shutdown-ms"},
		{"wrong type", `"instance": "a"`, `"instance": 1`, "$.instance"},
		{"host name", `127.0.0.1:7201`, `localhost:7201`, "$.admin-address"},
		{"no port", `127.0.0.1:7201`, `127.0.0.1`, "$.admin-address"},
		{"port of zero", `127.0.0.1:7201`, `127.0.0.1:0`, "$.admin-address"},
		{"IP out of range", `127.0.0.1:7201`, `127.0.0.999:7201`, "$.admin-address"},
		{"peer address for all interfaces", `"peer-address": "10.0.0.1:7101"`, `"peer-address": "0.0.0.0:7101"`, "$.peer-address"},
		{"duplicate address", `127.0.0.1:7201`, `10.0.0.1:7101`, "$.admin-address"},
		{"duplicate port on all interfaces", `127.0.0.1:7201`, `127.0.0.1:7001`, "$.admin-address"},
		{"duplicate seed", `"10.0.0.2:7101"`, `"10.0.0.2:7101", "10.0.0.2:7101"`, "$.seeds[2]"},
		{"seed is the platform", `"10.0.0.2:7101"`, `"10.0.0.9:7900"`, "$.seeds[1]"},
		{"not JSON", `}`, ``, "$"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSettings, c.old))
			_, err := loader.Parse([]byte(strings.Replace(validSettings, c.old, c.replacement, 1)))
			assert.Assert(t, slices.Contains(paths(t, err), c.path), "%v", err)
		})
	}
}

// Guards against problems that are reported only after others are fixed, or reported twice.
func TestParseReportsEveryProblemOnce(t *testing.T) {
	_, err := loader.Parse([]byte(`{"instance": "A", "caller-address": "x", "peer-address": "1.1.1.1:1", "admin-address": "1.1.1.1:1", "platform-address": "2.2.2.2:2"}`))
	got := paths(t, err)
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"$.admin-address", "$.caller-address", "$.failure-domain", "$.instance"})
}

// Guards against problems that only follow from settings that cannot be decoded, and that hide the cause.
func TestParseReportsOnlyCauseWhenSettingsCannotBeDecoded(t *testing.T) {
	_, err := loader.Parse([]byte(strings.Replace(validSettings, "}", "", 1)))
	assert.DeepEqual(t, paths(t, err), []string{"$"})
	_, err = loader.Parse([]byte(strings.Replace(validSettings, `"10.0.0.9:7900"`, `7900`, 1)))
	assert.DeepEqual(t, paths(t, err), []string{"$.platform-address"})
}

// Guards against a missing file that is reported as invalid settings.
func TestLoadReturnsReadErrorWhenFileMissing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	_, err := loader.Load(file)
	var readErr *loader.ReadError
	assert.Assert(t, errors.As(err, &readErr))
	assert.NilError(t, os.WriteFile(file, []byte(validSettings), 0o600))
	_, err = loader.Load(file)
	assert.NilError(t, err)
}

// Guards against a With method or a returned slice that changes settings which other parts of the instance use.
func TestSettingsAreImmutable(t *testing.T) {
	s, err := loader.Parse([]byte(validSettings))
	assert.NilError(t, err)
	s.Seeds()[0] = netip.AddrPort{}
	other := s.WithSeeds().WithStrictInvariants(true).WithShutdownTimes(0, time.Second)
	assert.Equal(t, s.Seeds()[0], netip.MustParseAddrPort("10.0.0.1:7101"))
	assert.Equal(t, s.StrictInvariants(), false)
	assert.Equal(t, s.BalancerDelay(), 2*time.Second)
	assert.Equal(t, len(other.Seeds()), 0)
}

func paths(t *testing.T, err error) []string {
	t.Helper()
	var invalid *loader.InvalidError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	paths := make([]string, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	return paths
}

// Guards against relay settings that lose the fraction of a number, get wrong defaults, or have problems reported at a
// wrong path.
func TestParseRelayAppliesDefaultsKeepsFractionsAndReportsPaths(t *testing.T) {
	const base = `{"instance": "a", "failure-domain": "west", "caller-address": "127.0.0.1:7001",
		"peer-address": "127.0.0.1:7101", "admin-address": "127.0.0.1:7201", "platform-address": "127.0.0.1:7900", "relay": %s}`
	settings, err := loader.Parse(fmt.Appendf(nil, base, `{"ready-address": "127.0.0.1:7301", "extra-load-ratio": 0.2, "grace-seconds": 6.0}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.Relay().ExtraLoadRatio, 0.2)
	assert.Equal(t, settings.Relay().GracePeriod, 6*time.Second)
	assert.Equal(t, settings.Relay().ReadyPath, "/v1/ready")
	assert.Equal(t, settings.Relay().PropagationLimit, 3*time.Second)
	settings, err = loader.Parse(fmt.Appendf(nil, base, `{"ready-address": "127.0.0.1:7301", "configuration-ms": 5000, "drain-ms": 2500.5}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.Relay().PropagationLimit, 2500500*time.Microsecond)
	assert.Equal(t, settings.Relay().CPUCapacity, 0)
	for section, capacity := range map[string]int{`"processor-share": 0.134`: 134, `"processor-share": 0.4, "processor-speed": 2`: 800, `"processor-speed": 2`: 0, `"processor-share": 0`: 0} {
		settings, err = loader.Parse(fmt.Appendf(nil, base, `{"ready-address": "127.0.0.1:7301", `+section+`}`))
		assert.NilError(t, err)
		assert.Equal(t, settings.Relay().CPUCapacity, capacity)
	}
	assert.Assert(t, settings.Relay().Quota == nil)
	settings, err = loader.Parse(fmt.Appendf(nil, base, `{"ready-address": "127.0.0.1:7301", "quota": {"window-seconds": 2.5, "overrun": 0.25, "slack": 19.5}}`))
	assert.NilError(t, err)
	assert.Equal(t, *settings.Relay().Quota, loader.Quota{Window: 2500 * time.Millisecond, Overrun: 0.25, Slack: 19.5})
	for section, path := range map[string]string{
		`{}`: "$.relay", `{"ready-address": "127.0.0.1:7001"}`: "$.relay.ready-address",
		`{"ready-address": "127.0.0.1:7301", "extra-load-ratio": 1.5}`: "$.relay.extra-load-ratio",
		`{"ready-address": "127.0.0.1:7301", "memory-mb": 20.5}`:       "$.relay.memory-mb",
		`{"ready-address": "127.0.0.1:7301", "processor-share": -1}`:   "$.relay.processor-share",
		`{"ready-address": "127.0.0.1:7301", "drain-ms": 10}`:          "$.relay.drain-ms",
		`{"ready-address": "127.0.0.1:7301", "quota": {"slack": -1}}`:  "$.relay.quota.slack",
	} {
		_, err := loader.Parse(fmt.Appendf(nil, base, section))
		assert.ErrorContains(t, err, path)
	}
}
