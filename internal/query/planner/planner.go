// Package planner pins the snapshot of a query, that is a manifest generation and an index version, and finds the
// replicas that its sub-queries may be sent to. The executor uses it in native mode. The package sends nothing itself
// and leaves the order of replicas to package selector.
package planner

import (
	"time"

	"github.com/twmb/murmur3"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Configuration provides the manifest and the member list in force.
type Configuration interface {
	// Manifest returns nil before the first manifest was applied.
	Manifest() *resolver.Manifest
	// Members never returns nil.
	Members() *resolver.Members
}

// HeldVersions provides the index versions that targets report to hold.
type HeldVersions interface {
	// Holds reports whether the target holds the version; known is false for a target without a report.
	Holds(target, index string, version int) (held, known bool)
}

// DefaultMissingExpiry is how long a target is assumed to lack a version after a version-missing reply. Targets load a
// version within seconds, and an outdated entry costs at most one retry.
const DefaultMissingExpiry = 2 * time.Second

// Planner pins snapshots based on the manifest in force and the state of targets.
type Planner struct {
	configuration Configuration
	heldVersions  HeldVersions
	missing       *missingVersions
}

// Option configures a planner.
type Option func(*Planner)

// WithMissingExpiry sets how long a target is assumed to lack a version after a version-missing reply.
func WithMissingExpiry(expiry time.Duration) Option {
	return func(p *Planner) { p.missing = newMissingVersions(expiry) }
}

// New creates a planner.
func New(configuration Configuration, heldVersions HeldVersions, opts ...Option) *Planner {
	p := &Planner{configuration: configuration, heldVersions: heldVersions, missing: newMissingVersions(DefaultMissingExpiry)}
	for _, apply := range opts {
		apply(p)
	}
	return p
}

// Class returns a query class of the manifest in force. Errors: *NoManifestError, *UnknownClassError.
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

// Plan pins the newest version for which every needed shard has an eligible replica. If there is none, it pins the
// version with the most documents in shards that have one. A replica is eligible if its target is serving and not known
// to lack the version. Errors: *NoManifestError, *UnknownClassError, *KeyError.
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
	// The manifest defines the index of every class, with at least one version.
	index, _ := m.Index(class.Index)
	version, shards := p.pinVersion(m, index, request.Key)
	snapshot := encoder.Snapshot{Generation: m.Generation(), Index: index.Name, Version: version}
	return NewPlan(class, snapshot, shards), nil
}

// Candidates returns the replicas of a shard of the plan that are eligible under the configuration now in force.
func (p *Planner) Candidates(plan *Plan, shard int) []string {
	v := p.targetView(p.configuration.Manifest())
	return v.eligibleReplicas(plan.snapshot.Index, plan.snapshot.Version, plan.shards[shard].Replicas)
}

// MarkVersionMissing records a version-missing reply of the target to a sub-query of the plan.
func (p *Planner) MarkVersionMissing(plan *Plan, target string) {
	p.missing.add(missingVersion{target: target, index: plan.snapshot.Index, version: plan.snapshot.Version})
}

func (p *Planner) pinVersion(m *resolver.Manifest, index encoder.Index, key *string) (int, []encoder.Shard) {
	v := p.targetView(m)
	best, bestDocuments := len(index.Versions)-1, -1
	for i := len(index.Versions) - 1; i >= 0; i-- {
		version := index.Versions[i]
		documents, complete := v.availableDocuments(index.Name, version.Version, neededShards(version.Shards, key))
		if complete {
			return version.Version, neededShards(version.Shards, key)
		}
		if documents > bestDocuments {
			best, bestDocuments = i, documents
		}
	}
	version := index.Versions[best]
	return version.Version, neededShards(version.Shards, key)
}

func (p *Planner) targetView(m *resolver.Manifest) targetView {
	return targetView{manifest: m, members: p.configuration.Members(), heldVersions: p.heldVersions, missing: p.missing.entries(), now: time.Now()}
}

func checkKey(class encoder.QueryClass, key *string) error {
	required := class.Routing == encoder.QueryClassRoutingKey
	if required == (key != nil) {
		return nil
	}
	return &KeyError{Class: class.Name, KeyRequired: required}
}

// neededShards returns all shards or, for a keyed query, the one with the highest rendezvous hash of the key.
func neededShards(shards []encoder.Shard, key *string) []encoder.Shard {
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
