package loader

import (
	"net/netip"
	"time"

	"apricotflow/internal/wire/encoder"
)

// Defaults of the relay settings, as documented in the schema.
const (
	defaultReadyPath       = "/v1/ready"
	defaultGrace           = 6 * time.Second
	defaultExtraLoadRatio  = 0.1
	defaultExtraLoadWindow = 10 * time.Second
	defaultColdFactor      = 1
	defaultMemoryMB        = 256
	defaultInForce         = 3 * time.Second
)

// Relay holds the settings of an instance that relays requests by routes.
type Relay struct {
	// ReadyAddress is listened on for the readiness question of the balancer, at ReadyPath.
	ReadyAddress netip.AddrPort
	ReadyPath    string
	// Grace is the time between the signal to stop and the end of the process by force.
	Grace time.Duration
	// ExtraLoadRatio, ExtraLoadSlack and ExtraLoadWindow bound the repeated sub-requests to a service over all
	// instances: ratio x requests + slack in each window.
	ExtraLoadRatio  float64
	ExtraLoadSlack  float64
	ExtraLoadWindow time.Duration
	// ColdFactor and ColdSlack adjust the rate that a cold target bears.
	ColdFactor float64
	ColdSlack  float64
	// InForce is the time in which any change of the platform has to be in force on an instance.
	InForce time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
}

func newRelay(wire encoder.Relay, a *addresses) *Relay {
	return &Relay{
		ReadyAddress:    a.listener("$.relay.ready-address", wire.ReadyAddress),
		ReadyPath:       valueOr(wire.ReadyPath, defaultReadyPath),
		Grace:           seconds(wire.GraceSeconds, defaultGrace),
		ExtraLoadRatio:  valueOr(wire.ExtraLoadRatio, defaultExtraLoadRatio),
		ExtraLoadSlack:  valueOr(wire.ExtraLoadSlack, 0),
		ExtraLoadWindow: seconds(wire.ExtraLoadWindowSeconds, defaultExtraLoadWindow),
		ColdFactor:      valueOr(wire.ColdFactor, defaultColdFactor),
		ColdSlack:       valueOr(wire.ColdSlack, 0),
		InForce:         min(fraction(wire.ConfigurationMs, defaultInForce), fraction(wire.DrainMs, defaultInForce)),
		MemoryBytes:     int64(valueOr(wire.MemoryMb, defaultMemoryMB)) << 20,
	}
}

func seconds(value *float64, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return time.Duration(*value * float64(time.Second))
}

// fraction returns a duration in milliseconds that need not be whole.
func fraction(value *float64, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return time.Duration(*value * float64(time.Millisecond))
}
