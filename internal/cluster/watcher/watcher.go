// Package watcher reads and watches the values of the platform's configuration service.
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

// Keys of the platform's values.
const (
	KeyManifest = "manifest"
	KeyMembers  = "members"
)

const (
	// watchersPerDomain is the number of instances in each failure domain that watch.
	watchersPerDomain = 2
	// defaultWait is the time that the platform may hold a watch; a silent connection is noticed answerTimeout later.
	defaultWait = 5 * time.Second
	// roleInterval is how often an instance that does not watch checks whether it should.
	roleInterval = 500 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a failed read.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// leastInterval separates two reads of a platform that answers watches without waiting.
	leastInterval = 200 * time.Millisecond
	// source names the platform in events and errors.
	source = "platform"
)

// Configuration takes new values.
type Configuration interface {
	Members() *resolver.Members
	ApplyManifest(raw []byte, source string) (bool, error)
	ApplyMembers(raw []byte, source string) (bool, error)
}

// Reachability tells which instances answer.
type Reachability interface {
	Reachable(instance string) bool
}

// Events records the loss of the platform.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Option changes a watcher.
type Option func(*Watcher)

// WithWait sets the time that the platform may hold a watch, in whole seconds.
func WithWait(wait time.Duration) Option {
	return func(w *Watcher) { w.wait = wait }
}

// WithScope sets the scope for the counters of calls to the platform.
func WithScope(scope tally.Scope) Option {
	return func(w *Watcher) { w.scope = scope }
}

// Watcher reads the platform for one instance.
type Watcher struct {
	instance      string
	failureDomain string
	configuration Configuration
	reachability  Reachability
	clock         func() time.Duration
	events        Events
	client        *client
	wait          time.Duration
	scope         tally.Scope

	// answered is the boot time of the platform's last answer.
	answered atomic.Int64

	mu sync.Mutex
	// lost tells that the last read failed.
	lost bool
}

// New creates a watcher of the platform at the address. The clock is boot time.
func New(address, instance, failureDomain string, configuration Configuration, reachability Reachability,
	clock func() time.Duration, events Events, options ...Option,
) *Watcher {
	w := &Watcher{
		instance: instance, failureDomain: failureDomain, configuration: configuration, reachability: reachability,
		clock: clock, events: events, client: newClient(address), wait: defaultWait, scope: tally.NoopScope,
	}
	w.answered.Store(int64(clock()))
	for _, option := range options {
		option(w)
	}
	return w
}

// Age returns the time since the platform last answered this instance, or since New. It grows on an instance that
// does not watch.
func (w *Watcher) Age() time.Duration {
	return w.clock() - time.Duration(w.answered.Load())
}

// Watching reports whether this instance is one that watches: one of the first two of its failure domain in
// rendezvous order that are reachable. An instance that is not listed yet takes part in the order.
func (w *Watcher) Watching() bool {
	names := []string{w.instance}
	for _, n := range w.configuration.Members().Instances() {
		if n.FailureDomain == w.failureDomain && n.Name != w.instance {
			names = append(names, n.Name)
		}
	}
	order := owner.Order("watch", names)
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

// Run watches both values whenever it is this instance's turn, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, key := range []string{KeyManifest, KeyMembers} {
		running.Go(func() { w.watch(ctx, key) })
	}
	running.Wait()
	w.client.close()
}

func (w *Watcher) watch(ctx context.Context, key string) {
	etag := ""
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !w.Watching() {
			timekeeper.Sleep(ctx, jitter(roleInterval))
			continue
		}
		started := w.clock()
		wait := w.wait
		if etag == "" {
			wait = 0
		}
		next, err := w.read(ctx, key, etag, wait)
		if err != nil {
			timekeeper.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		etag, backoff = next, firstBackoff
		if rest := leastInterval - (w.clock() - started); rest > 0 {
			timekeeper.Sleep(ctx, jitter(rest))
		}
	}
}

// read gets a value and applies it; it returns the ETag of what was read, also when the value was refused.
func (w *Watcher) read(ctx context.Context, key, etag string, wait time.Duration) (string, error) {
	w.scope.Counter("platform-calls").Inc(1)
	v, err := w.client.read(ctx, key, etag, wait)
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	w.note(err)
	if err != nil {
		w.scope.Counter("platform-calls-failed").Inc(1)
		return "", err
	}
	if v.raw == nil {
		return v.etag, nil
	}
	// A value that is refused is recorded by the configuration and read again only when it has changed.
	if key == KeyManifest {
		_, _ = w.configuration.ApplyManifest(v.raw, source)
		return v.etag, nil
	}
	_, _ = w.configuration.ApplyMembers(v.raw, source)
	return v.etag, nil
}

// note records when the platform is lost and regained.
func (w *Watcher) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.answered.Store(int64(w.clock()))
	}
	switch {
	case err != nil && !w.lost:
		w.events.Record(recorder.KindPlatformLost, source, "", err.Error())
	case err == nil && w.lost:
		w.events.Record(recorder.KindPlatformRegained, source, "", "")
	}
	w.lost = err != nil
}

// jitter returns a random duration from half of d to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
