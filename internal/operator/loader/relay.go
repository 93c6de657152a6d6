package loader

import (
	"math"
	"net/netip"
	"time"

	"apricotflow/internal/wire/encoder"
)

// Defaults of the relay settings. The schema documents them too.
const (
	defaultReadyPath        = "/v1/ready"
	defaultGracePeriod      = 6 * time.Second
	defaultExtraLoadRatio   = 0.1
	defaultExtraLoadWindow  = 10 * time.Second
	defaultColdFactor       = 1
	defaultMemoryMB         = 256
	defaultPropagationLimit = 3 * time.Second
)

// DefaultQuotaWindow is the window of the bound on the requests of a tenant if the settings name none.
const DefaultQuotaWindow = 5 * time.Second

// Relay holds the settings of relay mode, in which an instance relays requests by the routes of a routing table.
type Relay struct {
	// ReadyAddress is the address to listen on for readiness checks of the balancer, which requests ReadyPath.
	ReadyAddress netip.AddrPort
	ReadyPath    string
	// GracePeriod is the time from the signal to stop until the process is killed. It replaces the balancer delay and the
	// shutdown timeout.
	GracePeriod time.Duration
	// ExtraLoadRatio, ExtraLoadSlack and ExtraLoadWindow limit the repeated sub-requests to a service from all
	// instances: at most ratio x requests + slack in each window.
	ExtraLoadRatio  float64
	ExtraLoadSlack  float64
	ExtraLoadWindow time.Duration
	// ColdFactor and ColdSlack determine the maximum request rate of a cold target from all instances: the warm-up rate
	// of its service times ColdFactor, plus ColdSlack in requests per second.
	ColdFactor float64
	ColdSlack  float64
	// PropagationLimit is the maximum time until a change on the platform is in force on an instance. It is the shorter of
	// the settings configuration-ms and drain-ms, because one limit applies to all changes.
	PropagationLimit time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// CPUCapacity is the CPU capacity of the instance in thousandths of a core, the share of a core times its speed; 0 if
	// unknown.
	CPUCapacity int
	// Quota bounds the requests of a tenant with a limit. It is nil if the settings have no such section; its overrun and
	// slack are then 0.
	Quota *Quota
}

// Quota is the bound on the requests of a tenant over all instances: in each window at most (rate x window + burst) x
// (1 + overrun) + slack.
type Quota struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

func newQuota(wire *encoder.Quota) *Quota {
	if wire == nil {
		return nil
	}
	return &Quota{Window: secondsOr(wire.WindowSeconds, DefaultQuotaWindow), Overrun: valueOr(wire.Overrun, 0), Slack: valueOr(wire.Slack, 0)}
}

func newRelay(wire encoder.Relay, a *addressParser) *Relay {
	return &Relay{
		ReadyAddress:     a.parseListenAddress("$.relay.ready-address", wire.ReadyAddress),
		ReadyPath:        valueOr(wire.ReadyPath, defaultReadyPath),
		GracePeriod:      secondsOr(wire.GraceSeconds, defaultGracePeriod),
		ExtraLoadRatio:   valueOr(wire.ExtraLoadRatio, defaultExtraLoadRatio),
		ExtraLoadSlack:   valueOr(wire.ExtraLoadSlack, 0),
		ExtraLoadWindow:  secondsOr(wire.ExtraLoadWindowSeconds, defaultExtraLoadWindow),
		ColdFactor:       valueOr(wire.ColdFactor, defaultColdFactor),
		ColdSlack:        valueOr(wire.ColdSlack, 0),
		PropagationLimit: min(fractionalMillisecondsOr(wire.ConfigurationMs, defaultPropagationLimit), fractionalMillisecondsOr(wire.DrainMs, defaultPropagationLimit)),
		MemoryBytes:      int64(valueOr(wire.MemoryMb, defaultMemoryMB)) << 20,
		CPUCapacity:      cpuCapacity(wire),
		Quota:            newQuota(wire.Quota),
	}
}

// thousandths is the number of units of CPU capacity in a core.
const thousandths = 1000

// cpuCapacity returns the CPU capacity in thousandths of a core, at least 1; 0 if the settings do not state it.
func cpuCapacity(wire encoder.Relay) int {
	share, speed := valueOr(wire.ProcessorShare, 0), valueOr(wire.ProcessorSpeed, 0)
	if share == 0 {
		return 0
	}
	if speed == 0 {
		speed = 1
	}
	return max(int(math.Round(share*speed*thousandths)), 1)
}

func secondsOr(value *float64, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return time.Duration(*value * float64(time.Second))
}

// fractionalMillisecondsOr returns the duration of a number of milliseconds that may have a fraction, or the fallback
// if there is none.
func fractionalMillisecondsOr(value *float64, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return time.Duration(*value * float64(time.Millisecond))
}
