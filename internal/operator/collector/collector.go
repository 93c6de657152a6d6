// Package collector requests the status or the events of all instances over their admin API and merges the replies. The
// command line uses it for a view of the whole deployment, of either mode. Assessing the state of the deployment is
// left to package commander.
package collector

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/wire/encoder"
)

const (
	// defaultTimeout is the maximum time for the reply of one instance.
	defaultTimeout = 3 * time.Second
	// maxInFlight limits the requests in flight, to stay below the usual limit of 1,024 open files.
	maxInFlight = 512
)

// Instance is an instance to send requests to.
type Instance struct {
	// Name is empty if only the address is known.
	Name string
	// AdminAddress is an IP address and port.
	AdminAddress string
	// Leaving reports whether the platform lists the instance as leaving, so that it may be gone.
	Leaving bool
}

// String returns the name with the address.
func (n Instance) String() string {
	if n.Name == "" {
		return n.AdminAddress
	}
	return n.Name + " (" + n.AdminAddress + ")"
}

// Failure is an instance that gave no valid reply.
type Failure struct {
	Instance Instance
	// Cause is an *UnavailableError.
	Cause error
}

// Filter selects events. An empty field selects all.
type Filter struct {
	// After is a value of the hybrid logical clock; only later events are selected.
	After    int
	Kinds    []string
	Subjects []string
	Query    string
}

// Timeline holds the events of all instances that answered.
type Timeline struct {
	// Events is sorted by hybrid logical clock, then instance.
	Events []encoder.Event
	// Overwritten holds the number of older events that each instance no longer keeps, by instance name.
	Overwritten map[string]int
	// Failures are in the order of the instances asked.
	Failures []Failure
}

// Statuses holds the status of all instances that answered.
type Statuses struct {
	// Replies is sorted by instance.
	Replies []encoder.StatusReply
	// Failures are in the order of the instances asked.
	Failures []Failure
}

// Collector sends requests to the admin API of instances.
type Collector struct {
	timeout time.Duration
	client  *http.Client
}

// Option configures a collector.
type Option func(*Collector)

// WithTimeout sets the maximum time for the reply of one instance.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Collector) { c.timeout = timeout }
}

// New creates a collector. It opens a new connection for each request.
func New(opts ...Option) *Collector {
	c := &Collector{timeout: defaultTimeout, client: newClient()}
	for _, o := range opts {
		o(c)
	}
	return c
}

// ListInstances requests the member list from the platform and returns the live and leaving instances. The error is an
// *UnavailableError.
func (c *Collector) ListInstances(ctx context.Context, platform string) ([]Instance, error) {
	raw, err := c.get(ctx, platform, "/v1/values/members", nil)
	if err != nil {
		return nil, err
	}
	members, err := parser.ParseMembers(raw)
	if err != nil {
		return nil, &UnavailableError{Address: platform, Cause: err}
	}
	var instances []Instance
	for _, n := range members.Instances() {
		leaving := n.State == encoder.MemberInstanceStateLeaving
		instances = append(instances, Instance{Name: n.Name, AdminAddress: n.AdminAddress, Leaving: leaving})
	}
	return instances, nil
}

// FetchStatuses requests the status of all instances. An instance that is asked under two addresses appears twice.
func (c *Collector) FetchStatuses(ctx context.Context, instances []Instance) Statuses {
	replies, failures := fetchAll[encoder.StatusReply](ctx, c, instances, "/v1/status", nil)
	slices.SortStableFunc(replies, func(a, b encoder.StatusReply) int { return cmp.Compare(a.Instance, b.Instance) })
	return Statuses{Replies: replies, Failures: failures}
}

// FetchEvents requests the selected events of all instances and merges them.
func (c *Collector) FetchEvents(ctx context.Context, instances []Instance, f Filter) Timeline {
	replies, failures := fetchAll[encoder.EventsReply](ctx, c, instances, "/v1/events", f.values())
	t := Timeline{Overwritten: make(map[string]int, len(replies)), Failures: failures}
	for _, reply := range replies {
		if _, seen := t.Overwritten[reply.Instance]; seen {
			// The same instance was asked under two addresses, or twice under one.
			continue
		}
		t.Overwritten[reply.Instance] = reply.Dropped
		t.Events = append(t.Events, reply.Events...)
	}
	slices.SortStableFunc(t.Events, func(a, b encoder.Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Instance, b.Instance))
	})
	return t
}

func (f Filter) values() url.Values {
	values := url.Values{}
	if f.After > 0 {
		values.Set("after", strconv.Itoa(f.After))
	}
	for _, kind := range f.Kinds {
		values.Add("kind", kind)
	}
	for _, subject := range f.Subjects {
		values.Add("subject", subject)
	}
	if f.Query != "" {
		values.Set("query", f.Query)
	}
	return values
}

// fetchAll sends the request to all instances concurrently, with up to maxInFlight requests at a time. Both results
// keep the order of the instances.
func fetchAll[T any](ctx context.Context, c *Collector, instances []Instance, path string, query url.Values) ([]T, []Failure) {
	replies, causes := make([]T, len(instances)), make([]error, len(instances))
	semaphore := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	for i, n := range instances {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			replies[i], causes[i] = fetch[T](ctx, c, n.AdminAddress, path, query)
		})
	}
	group.Wait()
	var answered []T
	var failures []Failure
	for i, n := range instances {
		if causes[i] != nil {
			failures = append(failures, Failure{Instance: n, Cause: causes[i]})
			continue
		}
		answered = append(answered, replies[i])
	}
	return answered, failures
}
