// Package planner pins the snapshot of a query and finds the replicas that may answer it.
package planner

import (
	"time"

	"github.com/twmb/murmur3"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Configuration provides the manifest and member list in force.
type Configuration interface {
	// Manifest returns nil before the first manifest.
	Manifest() *resolver.Manifest
	// Members never returns nil.
	Members() *resolver.Members
}

// Holdings tells which index versions targets report.
type Holdings interface {
	// Holds returns known as false for a target without a report.
	Holds(target, index string, version int) (held, known bool)
}

// DefaultMissingExpiry is how long a version-missing reply is believed.
// Targets load a version within seconds, and a wrong belief costs at most one retry.
const DefaultMissingExpiry = 2 * time.Second

// Planner pins snapshots from the manifest in force and from what is known of targets.
type Planner struct {
	configuration Configuration
	holdings      Holdings
	missing       *missingVersions
}

// Option changes a planner under construction.
type Option func(*Planner)

// WithMissingExpiry sets how long a version-missing reply is believed.
func WithMissingExpiry(expiry time.Duration) Option {
	return func(p *Planner) { p.missing = newMissingVersions(expiry) }
}

// New creates a planner.
func New(configuration Configuration, holdings Holdings, opts ...Option) *Planner {
	p := &Planner{configuration: configuration, holdings: holdings, missing: newMissingVersions(DefaultMissingExpiry)}
	for _, apply := range opts {
		apply(p)
	}
	return p
}

// Class finds a query class of the manifest in force. Errors: *NoManifestError, *UnknownClassError.
func (p *Planner) Class(name string) (encoder.QueryClass, error) {
	m := p.configuration.Manifest()
	if m == nil {
		return encoder.QueryClass{}, &NoManifestError{}
	}
	class, found := m.QueryClass(name)
	if !found {
		return encoder.QueryClass{}, &UnknownClassError{Class: name}
	}
	return class, nil
}

// Plan pins the newest version for which every needed shard has an available replica or, if there is none, the
// version with the most reachable documents. Errors: *NoManifestError, *UnknownClassError, *KeyError.
func (p *Planner) Plan(request encoder.QueryRequest) (*Plan, error) {
	m := p.configuration.Manifest()
	if m == nil {
		return nil, &NoManifestError{}
	}
	class, found := m.QueryClass(request.QueryClass)
	if !found {
		return nil, &UnknownClassError{Class: request.QueryClass}
	}
	if err := checkKey(class, request.Key); err != nil {
		return nil, err
	}
	index, _ := m.Index(class.Index)
	version, shards := p.pin(m, index, request.Key)
	snapshot := encoder.Snapshot{Generation: m.Generation(), Index: index.Name, Version: version}
	return NewPlan(class, snapshot, shards), nil
}

// Candidates returns the replicas of a shard of the plan that may get work now and are not known to lack its version.
func (p *Planner) Candidates(plan *Plan, shard int) []string {
	v := p.view(p.configuration.Manifest())
	return v.available(plan.snapshot.Index, plan.snapshot.Version, plan.shards[shard].Replicas)
}

// Learn takes a reply into account that says that the target lacks the version of the plan.
func (p *Planner) Learn(plan *Plan, target string) {
	p.missing.add(missingVersion{target: target, index: plan.snapshot.Index, version: plan.snapshot.Version})
}

func (p *Planner) pin(m *resolver.Manifest, index encoder.Index, key *string) (int, []encoder.Shard) {
	v := p.view(m)
	best, bestDocuments := len(index.Versions)-1, -1
	for i := len(index.Versions) - 1; i >= 0; i-- {
		version := index.Versions[i]
		documents, complete := v.reachable(index.Name, version.Version, needed(version.Shards, key))
		if complete {
			return version.Version, needed(version.Shards, key)
		}
		if documents > bestDocuments {
			best, bestDocuments = i, documents
		}
	}
	version := index.Versions[best]
	return version.Version, needed(version.Shards, key)
}

func (p *Planner) view(m *resolver.Manifest) view {
	return view{manifest: m, members: p.configuration.Members(), holdings: p.holdings, missing: p.missing.current(), now: time.Now()}
}

func checkKey(class encoder.QueryClass, key *string) error {
	wanted := class.Routing == encoder.QueryClassRoutingKey
	if wanted == (key != nil) {
		return nil
	}
	return &KeyError{Class: class.Name, Wanted: wanted}
}

// needed returns all shards, or the one with the highest rendezvous hash of the key.
func needed(shards []encoder.Shard, key *string) []encoder.Shard {
	if key == nil {
		return shards
	}
	best, bestHash := 0, uint64(0)
	for i := range shards {
		hash := murmur3.StringSum64(shards[i].Name + "\x00" + *key)
		if hash > bestHash || (hash == bestHash && shards[i].Name < shards[best].Name) {
			best, bestHash = i, hash
		}
	}
	return shards[best : best+1 : best+1]
}
