package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"apricotflow/internal/wire/encoder"
)

// RendezvousOrder returns the names of the instances in rendezvous order for the key: sorted by a hash of the key and
// the name. The order depends only on the key and the names, so removing one instance keeps the order of the others.
func RendezvousOrder(key string, instances []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	scores := make([]scored, len(instances))
	for i, name := range instances {
		scores[i] = scored{name: name, score: score(key, name)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(scores))
	for i, s := range scores {
		names[i] = s.name
	}
	return names
}

// CountPreceding returns the number of other instances that come before the instance in rendezvous order for the key.
func CountPreceding(key, instance string, others []string) int {
	ownScore, count := score(key, instance), 0
	for _, name := range others {
		otherScore := score(key, name)
		if otherScore > ownScore || otherScore == ownScore && name < instance {
			count++
		}
	}
	return count
}

// orderByDomain returns the instances inside and outside of the group's failure domain, each in rendezvous order.
// Ownership goes to those inside first.
func orderByDomain(group, domain string, instances []encoder.MemberInstance) (inside, outside []string) {
	for _, n := range instances {
		if n.FailureDomain == domain {
			inside = append(inside, n.Name)
			continue
		}
		outside = append(outside, n.Name)
	}
	return RendezvousOrder(group, inside), RendezvousOrder(group, outside)
}

// score returns the rendezvous weight of the name for the key.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
