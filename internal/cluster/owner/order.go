// Package owner computes which instances own which targets, from the manifest, the member list and the announcements
// of instances.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"apricotflow/internal/wire/encoder"
)

// Order returns the names of the instances in rendezvous order for the key. The order depends only on the key and
// the names, so removing one instance keeps the order of the others.
func Order(key string, instances []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(instances))
	for i, name := range instances {
		list[i] = scored{name: name, score: score(key, name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = s.name
	}
	return names
}

// Preceding returns the number of instances before this one in rendezvous order for the key.
func Preceding(key, instance string, others []string) int {
	own, n := score(key, instance), 0
	for _, name := range others {
		other := score(key, name)
		if other > own || other == own && name < instance {
			n++
		}
	}
	return n
}

// domainOrder returns the instances in ownership order of a group: those of its failure domain, then the others.
func domainOrder(group, domain string, instances []encoder.MemberInstance) (inside, outside []string) {
	for _, n := range instances {
		if n.FailureDomain == domain {
			inside = append(inside, n.Name)
			continue
		}
		outside = append(outside, n.Name)
	}
	return Order(group, inside), Order(group, outside)
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
