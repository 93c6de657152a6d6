// Package watcher reads the manifest and the member list from the platform's configuration service and watches them for
// changes. Only a few instances of each failure domain watch at a time; the others get the values from peers through
// package gossiper, which also calls Fetch when the instance starts. It belongs to native mode, where package assembler
// runs it; in relay mode, package follower watches the platform's store. Validating and applying the values is left to
// package configurer.
package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
)

// Keys of the values on the platform.
const (
	KeyManifest = "manifest"
	KeyMembers  = "members"
)

const (
	// watchersPerDomain is the number of instances that watch in each failure domain.
	watchersPerDomain = 2
	// defaultWatchWait is the time that the platform may hold a watch; a silent connection is detected responseTimeout
	// later. Both together are below the 5 s in which a change has to be in force.
	defaultWatchWait = 3 * time.Second
	// watchCheckInterval is the time after which an instance that does not watch checks again whether it should.
	watchCheckInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minReadInterval is the minimum time between two reads if the platform responds to watches without waiting.
	minReadInterval = 200 * time.Millisecond
	// sourceName is the name of the platform in events and errors.
	sourceName = "platform"
)

// Configuration validates and applies new values. It is implemented by configurer.Configurer.
type Configuration interface {
	Members() *resolver.Members
	ApplyManifest(raw []byte, source string) (bool, error)
	ApplyMembers(raw []byte, source string) (bool, error)
}

// Reachability reports which instances are reachable.
type Reachability interface {
	Reachable(instance string) bool
}

// Events records the loss and the return of the platform.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Option configures a watcher.
type Option func(*Watcher)

// WithWait sets the time that the platform may hold a watch, in whole seconds.
func WithWait(wait time.Duration) Option {
	return func(w *Watcher) { w.wait = wait }
}

// WithScope sets the scope of the counters of calls to the platform.
func WithScope(scope tally.Scope) Option {
	return func(w *Watcher) { w.scope = scope }
}

// Logger logs when the platform is lost and regained. It is implemented by log.Logger.
type Logger interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
}

// WithLogger sets the logger.
func WithLogger(logger Logger) Option {
	return func(w *Watcher) { w.logger = logger }
}

// noopLogger is the default when nothing is logged.
type noopLogger struct{}

func (noopLogger) Info(any, ...any) {}
func (noopLogger) Warn(any, ...any) {}

// Watcher reads and watches the platform's values for one instance.
type Watcher struct {
	address       string
	instance      string
	failureDomain string
	configuration Configuration
	reachability  Reachability
	bootTime      func() time.Duration
	events        Events
	client        *client
	wait          time.Duration
	scope         tally.Scope
	logger        Logger

	// lastRespondedAt is the boot time of the platform's latest response, in nanoseconds.
	lastRespondedAt atomic.Int64

	mu sync.Mutex
	// platformLost reports whether the last read failed.
	platformLost bool
}

// New creates a watcher of the platform at the address.
func New(address, instance, failureDomain string, configuration Configuration, reachability Reachability,
	bootTime func() time.Duration, events Events, options ...Option,
) *Watcher {
	w := &Watcher{
		address: address, instance: instance, failureDomain: failureDomain, configuration: configuration, reachability: reachability,
		bootTime: bootTime, events: events, client: newClient(address), wait: defaultWatchWait, scope: tally.NoopScope, logger: noopLogger{},
	}
	w.lastRespondedAt.Store(int64(bootTime()))
	for _, option := range options {
		option(w)
	}
	return w
}

// TimeSinceResponse returns the time since the platform last responded to this instance, or since New if it never did.
// It grows on an instance that does not watch.
func (w *Watcher) TimeSinceResponse() time.Duration {
	return w.bootTime() - time.Duration(w.lastRespondedAt.Load())
}

// ShouldWatch reports whether this instance has to watch: it does if fewer than watchersPerDomain (two) reachable
// instances of its failure domain precede it in rendezvous order. An instance that is not in the member list yet takes
// part in the order.
func (w *Watcher) ShouldWatch() bool {
	names := []string{w.instance}
	for _, n := range w.configuration.Members().LiveInstances() {
		if n.FailureDomain == w.failureDomain && n.Name != w.instance {
			names = append(names, n.Name)
		}
	}
	order := owner.RendezvousOrder("watch", names)
	ahead := 0
	for _, name := range order[:slices.Index(order, w.instance)] {
		if w.reachability.Reachable(name) {
			ahead++
		}
	}
	return ahead < watchersPerDomain
}

// Fetch reads both values once and applies them.
func (w *Watcher) Fetch(ctx context.Context) error {
	var running sync.WaitGroup
	errs := make([]error, 2)
	for i, key := range []string{KeyManifest, KeyMembers} {
		running.Go(func() { _, errs[i] = w.read(ctx, key, "", 0) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Run watches both values while ShouldWatch reports that this instance has to, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, key := range []string{KeyManifest, KeyMembers} {
		running.Go(func() { w.watch(ctx, key) })
	}
	running.Wait()
	w.client.close()
}

// watch watches one value until the context ends.
func (w *Watcher) watch(ctx context.Context, key string) {
	etag := ""
	backoff := minBackoff
	// verified reports whether the last read succeeded. After a failure the next one returns at once, because a response
	// that is lost as well would be missed for another wait.
	verified := false
	for ctx.Err() == nil {
		if !w.ShouldWatch() {
			timekeeper.Sleep(ctx, jitter(watchCheckInterval))
			continue
		}
		started := w.bootTime()
		wait := w.wait
		if !verified {
			wait = 0
		}
		next, err := w.read(ctx, key, etag, wait)
		verified = err == nil
		if !verified {
			timekeeper.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		etag, backoff = next, minBackoff
		if remaining := minReadInterval - (w.bootTime() - started); remaining > 0 {
			timekeeper.Sleep(ctx, jitter(remaining))
		}
	}
}

// read reads a value and applies it. It returns the ETag of the value, even if the configuration refused the value.
func (w *Watcher) read(ctx context.Context, key, etag string, wait time.Duration) (string, error) {
	w.scope.Counter("platform-calls").Inc(1)
	v, err := w.client.read(ctx, key, etag, wait)
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	w.recordOutcome(err)
	if err != nil {
		w.scope.Counter("platform-calls-failed").Inc(1)
		return "", err
	}
	if v.raw == nil {
		return v.etag, nil
	}
	// The errors are ignored: a refused value is read again only after a change, and the configuration records an event
	// for it.
	if key == KeyManifest {
		_, _ = w.configuration.ApplyManifest(v.raw, sourceName)
		return v.etag, nil
	}
	_, _ = w.configuration.ApplyMembers(v.raw, sourceName)
	return v.etag, nil
}

// recordOutcome updates the state of the platform after a read, and records and logs when the platform is lost or
// regained.
func (w *Watcher) recordOutcome(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.lastRespondedAt.Store(int64(w.bootTime()))
	}
	switch {
	case err != nil && !w.platformLost:
		w.events.Record(recorder.KindPlatformLost, sourceName, "", err.Error())
		w.logger.Warn("platform lost", "address", w.address, "error", err)
	case err == nil && w.platformLost:
		w.events.Record(recorder.KindPlatformRegained, sourceName, "", "")
		w.logger.Info("platform regained", "address", w.address)
	}
	w.platformLost = err != nil
}

// jitter returns a random duration from half of d to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
