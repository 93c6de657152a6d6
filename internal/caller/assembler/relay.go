package assembler

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/discoverer"
	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/feeder"
	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/logger"
	"apricotflow/internal/operator/observer"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/reporter"
	admin "apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/allotter"
	"apricotflow/internal/query/delegator"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/query/rationer"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/query/sharer"
	"apricotflow/internal/target/appraiser"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
)

const (
	// peerHeartbeatInterval and peerSilenceTimeout are long, so that a lost instance is detected only after seconds:
	// bytes between failure domains cost money, and no request waits for the detection, because package concentrator
	// suspends a peer at the first call that fails or is overdue.
	peerHeartbeatInterval = 3 * time.Second
	peerSilenceTimeout    = 8 * time.Second
	// peerIdleTimeout is long enough to keep the connections to the few instances that are called in turn.
	peerIdleTimeout = time.Minute
	// heapFraction is the fraction of the memory limit that the process may use before the garbage collector runs more
	// often.
	heapFraction = 0.6
	// gcPercent lets the small heap of an instance grow further between garbage collections, which cost processor time.
	gcPercent = 400
	// smallMemoryBytes is the memory limit below which smallGCPercent replaces gcPercent, and memory is returned to the system
	// regularly: with 136 MB, a heap that grows to five times its live size has taken 114 MB at its peak, and what loading the
	// state of the platform needs for a moment stays for minutes.
	smallMemoryBytes = 256 << 20
	smallGCPercent   = 50
	// releaseInterval is the time between two returns of memory to the system. Each takes a few milliseconds of a core.
	releaseInterval = 5 * time.Second
)

// gcPercentFor returns the growth of the heap between garbage collections for a process with a memory limit.
func gcPercentFor(memoryBytes int64) int {
	if memoryBytes < smallMemoryBytes {
		return smallGCPercent
	}
	return gcPercent
}

// PlatformAdapters holds the parts of relay mode that depend on the platform: the client of its store, and the codecs
// of the headers that it defines for targets and callers.
type PlatformAdapters struct {
	// NewSource creates a client of the platform's store at the address.
	NewSource     func(address string, logger *log.Logger) follower.Source
	TargetHeaders transporter.HeaderCodec
	CallerHeaders receiver.HeaderCodec
}

// RunRelay runs an instance in relay mode: it relays the requests of callers by routes until ctx ends, then shuts down
// gracefully. Logs are written to logs.
func RunRelay(ctx context.Context, settings loader.Settings, version string, logs io.Writer, platform PlatformAdapters) error {
	debug.SetGCPercent(gcPercentFor(settings.Relay().MemoryBytes))
	debug.SetMemoryLimit(int64(heapFraction * float64(settings.Relay().MemoryBytes)))
	logWriter := logger.New(logs)
	defer logWriter.Close()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.Relay().GracePeriod+stopMargin),
		fx.Supply(settings, Version(version), platform, logWriter),
		fx.Provide(newIncarnation, newClock, newRecorder, reporter.New, newScope, newRelayLogger),
		fx.Provide(registrar.New, newDiscoverer, newFeeder, newRelayMessenger, newFollower),
		fx.Provide(newPicker, newBudgeter, newThrottler, newTransporter, newProber, newOwnFailureDomain, sender.New, newConcentrator, newStandstillDetector, newQuarantiner, newSharer, newPlacer, newAssigner, newDelegator, newRationer, newRelayer, newReceiver, newObserver, newRelayAdminServer),
		fx.Invoke(registerRelayInstance),
	)
	return runApp(ctx, app)
}

func newRelayLogger(settings loader.Settings, logWriter *logger.Writer) (*log.Logger, error) {
	level, err := log.ParseLevel(string(settings.LogLevel()))
	if err != nil {
		return nil, err
	}
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level, Formatter: log.JSONFormatter}
	return log.NewWithOptions(logWriter, options).With("instance", settings.Instance()), nil
}

func newDiscoverer(settings loader.Settings, incarnation Incarnation, r *registrar.Registrar, l *log.Logger) *discoverer.Discoverer {
	return discoverer.New(identity(settings, incarnation), settings.PeerAddress().String(), seedAddresses(settings), r, l)
}

func newFeeder(settings loader.Settings, incarnation Incarnation, d *discoverer.Discoverer, r *registrar.Registrar, l *log.Logger) *feeder.Feeder {
	return feeder.New(identity(settings, incarnation), d, r, settings.Relay().PropagationLimit, l,
		feeder.WithTenantsRequired(settings.Relay().Quota != nil))
}

func identity(settings loader.Settings, incarnation Incarnation) messenger.Identity {
	return messenger.Identity{
		Instance: settings.Instance(), Incarnation: string(incarnation), FailureDomain: settings.FailureDomain(),
		CPUCapacity: settings.Relay().CPUCapacity,
	}
}

func seedAddresses(settings loader.Settings) []string {
	seeds := make([]string, 0, len(settings.Seeds()))
	for _, s := range settings.Seeds() {
		seeds = append(seeds, s.String())
	}
	return seeds
}

func newRelayMessenger(
	settings loader.Settings, incarnation Incarnation, d *discoverer.Discoverer, f *feeder.Feeder, clock *timekeeper.HybridClock,
	events *recorder.Recorder, scope tally.Scope,
) *messenger.Messenger {
	m := messenger.New(identity(settings, incarnation), settings.PeerAddress().String(), d, clock, events,
		messenger.WithScope(scope), messenger.WithHeartbeat(peerHeartbeatInterval, peerSilenceTimeout), messenger.WithIdleTimeout(peerIdleTimeout))
	d.Attach(m)
	f.Attach(m)
	return m
}

func newFollower(
	settings loader.Settings, platform PlatformAdapters, r *registrar.Registrar, f *feeder.Feeder, l *log.Logger, scope tally.Scope,
) *follower.Follower {
	source := platform.NewSource(settings.PlatformAddress().String(), l)
	return follower.New(source, r, l, follower.WithPeers(f), follower.WithScope(scope), follower.WithPropagationLimit(settings.Relay().PropagationLimit))
}

func newOwnFailureDomain(settings loader.Settings) sender.OwnDomain {
	return sender.OwnDomain(settings.FailureDomain())
}

func newConcentrator(
	settings loader.Settings, platform PlatformAdapters, d *discoverer.Discoverer, m *messenger.Messenger, r *registrar.Registrar, s *sender.Sender,
	p *placer.Placer, standstills *timekeeper.StandstillDetector, l *log.Logger, scope tally.Scope,
) relayer.Concentrator {
	opts := []concentrator.Option{
		concentrator.WithStandstills(standstills.JustResumed), concentrator.WithTenantHeader(platform.CallerHeaders.TenantHeader()),
	}
	if settings.Relay().CPUCapacity > 0 {
		record := func(peer string, inProgress int) { p.RecordWork(peer, inProgress, time.Now()) }
		opts = append(opts, concentrator.WithWork(s.InProgress), concentrator.WithWorkRecorder(record))
	}
	c := concentrator.New(d, r, s, l, scope, opts...)
	c.Attach(m)
	return c
}

func newStandstillDetector() *timekeeper.StandstillDetector {
	return timekeeper.NewStandstillDetector(timekeeper.BootTime)
}

func newQuarantiner() *quarantiner.Quarantiner { return quarantiner.New() }

func newSharer(d *discoverer.Discoverer, m *messenger.Messenger, q *quarantiner.Quarantiner, l *log.Logger, scope tally.Scope) *sharer.Sharer {
	s := sharer.New(d, q, l, scope)
	s.Attach(m)
	d.SetQuarantine(s)
	return s
}

// newPlacer returns a Placer that places nothing if the settings do not state the CPU capacity of this instance.
func newPlacer(settings loader.Settings) *placer.Placer {
	return placer.New(enroller.Capacity{
		Instance: settings.Instance(), FailureDomain: settings.FailureDomain(), Thousandths: settings.Relay().CPUCapacity,
	})
}

func newAssigner(settings loader.Settings, d *discoverer.Discoverer, r *registrar.Registrar) *placer.Assigner {
	own := enroller.Capacity{Instance: settings.Instance(), FailureDomain: settings.FailureDomain(), Thousandths: settings.Relay().CPUCapacity}
	return placer.NewAssigner(own, d, func() *mapper.Table { return r.View().Table() }, placer.WithJoining(d.Joining))
}

func newDelegator(
	settings loader.Settings, d *discoverer.Discoverer, m *messenger.Messenger, s *sender.Sender, l *log.Logger, scope tally.Scope,
) *delegator.Delegator {
	var opts []delegator.Option
	if settings.Relay().CPUCapacity > 0 {
		opts = append(opts, delegator.WithWork(s.InProgress))
	}
	handover := delegator.New(d, l, scope, opts...)
	handover.Attach(m)
	return handover
}

// quotaTables tells the rationer what it needs to know of the routing table in force.
type quotaTables struct{ registrar *registrar.Registrar }

// TableVersion returns the version of the table.
func (t quotaTables) TableVersion() int { return t.registrar.View().TableVersion() }

// HasTenants reports whether the table has tenants.
func (t quotaTables) HasTenants() bool {
	table := t.registrar.View().Table()
	return table != nil && table.Tenants().Len() > 0
}

func newRationer(
	settings loader.Settings, d *discoverer.Discoverer, m *messenger.Messenger, p *prober.Prober, r *registrar.Registrar,
	events *recorder.Recorder, l *log.Logger, scope tally.Scope,
) *rationer.Rationer {
	bounds := allotter.Bounds{Window: loader.DefaultQuotaWindow}
	if quota := settings.Relay().Quota; quota != nil {
		bounds = allotter.Bounds{Window: quota.Window, Overrun: quota.Overrun, Slack: quota.Slack}
	}
	identity := rationer.Identity{Instance: settings.Instance(), FailureDomain: settings.FailureDomain()}
	rations := rationer.New(identity, bounds, d, p, quotaTables{r}, events, l, scope)
	rations.Attach(m)
	return rations
}

func newRelayer(
	s *sender.Sender, c relayer.Concentrator, standstills *timekeeper.StandstillDetector, q *quarantiner.Quarantiner, d *delegator.Delegator,
	p *placer.Placer, a *placer.Assigner, instances *discoverer.Discoverer, scope tally.Scope,
) *relayer.Relayer {
	return relayer.New(s, c, scope, relayer.WithStandstills(standstills.JustResumed), relayer.WithQuarantine(q), relayer.WithDelegator(d),
		relayer.WithPlacement(p, instances, d), relayer.WithHolders(a))
}

func newPicker(settings loader.Settings, d *discoverer.Discoverer, limits *throttler.Throttler, a *placer.Assigner) *picker.Picker {
	relaySettings := settings.Relay()
	return picker.New(picker.ColdLimits{Factor: relaySettings.ColdFactor, Slack: relaySettings.ColdSlack}, d, settings.FailureDomain(),
		picker.WithLimits(limits), picker.WithCosts(appraiser.New()), picker.WithAssignment(a))
}

func newBudgeter(settings loader.Settings, d *discoverer.Discoverer, a *placer.Assigner) *budgeter.Budgeter {
	return budgeter.New(extraLoadLimits(settings), d.InstanceEstimate, budgeter.WithGrowingSlack(), budgeter.WithDivisor(a.Divisor))
}

func newThrottler(d *discoverer.Discoverer, r *registrar.Registrar, a *placer.Assigner) *throttler.Throttler {
	divisor := func(target string, instances int) int {
		t, _ := r.View().Target(target)
		return a.Divisor(t.Service, instances)
	}
	return throttler.New(d.InstanceEstimate, throttler.WithDivisor(divisor))
}

func extraLoadLimits(settings loader.Settings) budgeter.Limits {
	relaySettings := settings.Relay()
	return budgeter.Limits{Ratio: relaySettings.ExtraLoadRatio, Slack: relaySettings.ExtraLoadSlack, Window: relaySettings.ExtraLoadWindow}
}

func newProber(r *registrar.Registrar, l *log.Logger) *prober.Prober {
	return prober.New(r, l)
}

func newTransporter(platform PlatformAdapters) *transporter.Transporter {
	return transporter.New(platform.TargetHeaders)
}

func newReceiver(
	settings loader.Settings, platform PlatformAdapters, r *registrar.Registrar, relay *relayer.Relayer, f *feeder.Feeder, d *delegator.Delegator,
	rations *rationer.Rationer, l *log.Logger, scope tally.Scope,
) *receiver.Receiver {
	rc := receiver.New(platform.CallerHeaders, r, relay, settings.Concurrency(), l, scope, receiver.WithStateAge(f.Age), receiver.WithExplainer(relay),
		receiver.WithQuotas(rations))
	d.SetServer(rc)
	return rc
}

func newRelayAdminServer(
	settings loader.Settings, incarnation Incarnation, version Version, events *recorder.Recorder, metrics *reporter.Reporter,
	clock *timekeeper.HybridClock, o *observer.Observer, callerReceiver *receiver.Receiver, rations *rationer.Rationer,
) *admin.Server {
	identity := admin.Identity{
		Instance: settings.Instance(), Incarnation: string(incarnation), FailureDomain: settings.FailureDomain(), Version: string(version),
	}
	return admin.New(identity, events, metrics, clock, admin.WithReady(callerReceiver.Ready), admin.WithConfiguration(o.Configuration),
		admin.WithMembers(o.Members), admin.WithTargets(o.Targets), admin.WithExplain(callerReceiver.Explain), admin.WithQuotas(rations.Usage))
}

func newObserver(r *registrar.Registrar, p *picker.Picker, d *discoverer.Discoverer, f *feeder.Feeder, events *recorder.Recorder) *observer.Observer {
	return observer.New(r, p, d, f, events)
}
