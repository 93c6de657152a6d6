package loader

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Defaults of the settings. The schema documents them too.
const (
	defaultBalancerDelay   = 2 * time.Second
	defaultShutdownTimeout = 30 * time.Second
	defaultConcurrency     = 256
)

// Policy selects the algorithms of the query path. The values other than the defaults select simpler algorithms, which
// serve as baselines for measurements.
type Policy struct {
	// Routing selects whether sub-queries go through the owners of a target ("owned", the default) or directly from every
	// instance.
	Routing encoder.PolicyRouting
	// Selection selects how the replica of a shard is chosen; the default is "least-loaded".
	Selection encoder.PolicySelection
	// ColdLimit selects whether the cold limit of a target is shared by leases ("lease", the default) or equally among
	// all instances.
	ColdLimit encoder.PolicyColdLimit
	// Hedging enables hedges; true by default.
	Hedging bool
}

// Settings holds the settings of an instance with the defaults applied. It is immutable.
type Settings struct {
	instance         string
	failureDomain    string
	callerAddress    netip.AddrPort
	peerAddress      netip.AddrPort
	adminAddress     netip.AddrPort
	platformAddress  netip.AddrPort
	seeds            []netip.AddrPort
	balancerDelay    time.Duration
	shutdownTimeout  time.Duration
	concurrency      int
	strictInvariants bool
	policy           Policy
	logLevel         encoder.SettingsLogLevel
	// relay is nil in native mode.
	relay *Relay
	// file is empty for settings that were not read from a file.
	file string
}

// newSettings applies the defaults and parses the addresses. It returns the given problems with those of the addresses.
func newSettings(wire encoder.Settings, problems []resolver.Problem) (Settings, []resolver.Problem) {
	a := newAddressParser(problems)
	s := Settings{
		instance:         wire.Instance,
		failureDomain:    wire.FailureDomain,
		callerAddress:    a.parseListenAddress("$.caller-address", wire.CallerAddress),
		peerAddress:      a.parseConnectAddress("$.peer-address", wire.PeerAddress),
		adminAddress:     a.parseListenAddress("$.admin-address", wire.AdminAddress),
		platformAddress:  a.parseConnectAddress("$.platform-address", wire.PlatformAddress),
		balancerDelay:    millisecondsOr(wire.BalancerMs, defaultBalancerDelay),
		shutdownTimeout:  millisecondsOr(wire.ShutdownMs, defaultShutdownTimeout),
		concurrency:      valueOr(wire.Concurrency, defaultConcurrency),
		strictInvariants: valueOr(wire.StrictInvariants, false),
		policy:           newPolicy(valueOr(wire.Policy, encoder.Policy{})),
		logLevel:         valueOr(wire.LogLevel, encoder.SettingsLogLevelInfo),
	}
	if wire.Relay != nil {
		s.relay = newRelay(*wire.Relay, a)
	}
	for i, seed := range wire.Seeds {
		s.seeds = append(s.seeds, a.parseSeedAddress(fmt.Sprintf("$.seeds[%d]", i), seed, s.peerAddress))
	}
	return s, a.problems
}

func newPolicy(wire encoder.Policy) Policy {
	return Policy{
		Routing:   valueOr(wire.Routing, encoder.PolicyRoutingOwned),
		Selection: valueOr(wire.Selection, encoder.PolicySelectionLeastLoaded),
		ColdLimit: valueOr(wire.ColdLimit, encoder.PolicyColdLimitLease),
		Hedging:   valueOr(wire.Hedging, true),
	}
}

// Instance returns the unique name of the instance.
func (s Settings) Instance() string { return s.instance }

// FailureDomain returns the failure domain of the instance.
func (s Settings) FailureDomain() string { return s.failureDomain }

// CallerAddress returns the address to listen on for callers.
func (s Settings) CallerAddress() netip.AddrPort { return s.callerAddress }

// PeerAddress returns the address to listen on for other instances, which is also the one announced to them.
func (s Settings) PeerAddress() netip.AddrPort { return s.peerAddress }

// AdminAddress returns the address to listen on for operators.
func (s Settings) AdminAddress() netip.AddrPort { return s.adminAddress }

// PlatformAddress returns the address of the configuration service.
func (s Settings) PlatformAddress() netip.AddrPort { return s.platformAddress }

// Seeds returns the peer addresses of the instances to contact at the start.
func (s Settings) Seeds() []netip.AddrPort { return slices.Clone(s.seeds) }

// BalancerDelay returns the time for which the load balancer may still send requests after the instance has become not
// ready. A relaying instance does not use it.
func (s Settings) BalancerDelay() time.Duration { return s.balancerDelay }

// ShutdownTimeout returns the maximum duration of a graceful shutdown after the balancer delay. A relaying instance
// uses Relay.GracePeriod instead.
func (s Settings) ShutdownTimeout() time.Duration { return s.shutdownTimeout }

// Concurrency returns the maximum number of queries, or requests in relay mode, that are in flight at the same time.
func (s Settings) Concurrency() int { return s.concurrency }

// StrictInvariants reports whether the violation of an invariant ends the process.
func (s Settings) StrictInvariants() bool { return s.strictInvariants }

// Policy returns the algorithms of the query path. A relaying instance does not use it.
func (s Settings) Policy() Policy { return s.policy }

// LogLevel returns the minimum level of log lines.
func (s Settings) LogLevel() encoder.SettingsLogLevel { return s.logLevel }

// Relay returns the settings of relay mode. It is nil in native mode, in which the instance answers queries according
// to a manifest.
func (s Settings) Relay() *Relay { return s.relay }

// File returns the name of the file that the settings were read from, or an empty string.
func (s Settings) File() string { return s.file }

// WithListeners returns a copy with other addresses to listen on. Unlike in a file, ports may be 0.
func (s Settings) WithListeners(caller, peer, admin netip.AddrPort) Settings {
	s.callerAddress, s.peerAddress, s.adminAddress = caller, peer, admin
	return s
}

// WithSeeds returns a copy with other peer addresses of the instances to contact at the start.
func (s Settings) WithSeeds(seeds ...netip.AddrPort) Settings {
	s.seeds = slices.Clone(seeds)
	return s
}

// WithPolicy returns a copy with another policy.
func (s Settings) WithPolicy(policy Policy) Settings {
	s.policy = policy
	return s
}

// WithShutdownTimes returns a copy with other durations for a graceful shutdown.
func (s Settings) WithShutdownTimes(balancerDelay, shutdownTimeout time.Duration) Settings {
	s.balancerDelay, s.shutdownTimeout = balancerDelay, shutdownTimeout
	return s
}

// WithStrictInvariants returns a copy that sets whether the violation of an invariant ends the process.
func (s Settings) WithStrictInvariants(strict bool) Settings {
	s.strictInvariants = strict
	return s
}

func millisecondsOr(value *int, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return time.Duration(*value) * time.Millisecond
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
