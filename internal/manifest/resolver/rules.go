package resolver

import (
	"fmt"
	"net/netip"
	"strings"

	"apricotflow/internal/wire/encoder"
)

// Problem is one broken rule of a manifest.
type Problem struct {
	// Path is the JSON path of the fault, such as $.services[0].targets[1].address.
	Path    string
	Message string
}

func (p Problem) String() string {
	return p.Path + ": " + p.Message
}

// maxSummarized bounds the problems in one error message.
const maxSummarized = 20

// Summarize joins the first problems for an error message.
func Summarize(problems []Problem) string {
	texts := make([]string, 0, maxSummarized+1)
	for _, p := range problems[:min(len(problems), maxSummarized)] {
		texts = append(texts, p.String())
	}
	if len(problems) > maxSummarized {
		texts = append(texts, fmt.Sprintf("and %d more", len(problems)-maxSummarized))
	}
	return strings.Join(texts, "; ")
}

// maxDocuments is the largest number that every JSON implementation keeps exactly (2^53 - 1). Coverage is computed
// from sums of documents.
const maxDocuments = 1<<53 - 1

// rules collects the problems of one manifest.
type rules struct {
	problems []Problem
}

func check(wire encoder.Manifest) []Problem {
	r := &rules{}
	domains := r.checkDomains(wire.FailureDomains)
	targets := r.checkServices(wire.Services, domains, wire.Limits)
	indexes := r.checkIndexes(wire.Indexes, targets)
	r.checkClasses(wire.QueryClasses, indexes)
	r.checkTickets(wire.QueryClasses, wire.Limits)
	return r.problems
}

func (r *rules) add(path, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// unique records the name and reports a duplicate.
func (r *rules) unique(names map[string]bool, path, kind, name string) {
	if names[name] {
		r.add(path+".name", "duplicate %s %q", kind, name)
	}
	names[name] = true
}

func (r *rules) checkDomains(domains []encoder.FailureDomain) map[string]bool {
	names := make(map[string]bool, len(domains))
	for i, d := range domains {
		r.unique(names, fmt.Sprintf("$.failure-domains[%d]", i), "failure domain", d.Name)
	}
	return names
}

func (r *rules) checkServices(services []encoder.Service, domains map[string]bool, limits encoder.Limits) map[string]bool {
	names, targets, addresses := make(map[string]bool), make(map[string]bool), make(map[netip.AddrPort]bool)
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		r.unique(names, path, "service", s.Name)
		for j, t := range s.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			r.unique(targets, path, "target", t.Name)
			r.checkTarget(path, t, domains, limits)
			r.checkAddress(addresses, path+".address", t.Address)
		}
	}
	return targets
}

func (r *rules) checkTarget(path string, t encoder.Target, domains map[string]bool, limits encoder.Limits) {
	if !domains[t.FailureDomain] {
		r.add(path+".failure-domain", "unknown failure domain %q", t.FailureDomain)
	}
	if t.ColdLimit > t.Slots {
		r.add(path+".cold-limit", "cold limit %d is above the %d slots", t.ColdLimit, t.Slots)
	}
	// The owners share the slots, with one connection for each, and each owner keeps one more for reports and
	// cancellations.
	owners := min(limits.Owners, t.Slots)
	if t.Connections < t.Slots+owners {
		r.add(path+".connections", "%d connections are too few for %d slots and %d owners with one more connection each", t.Connections, t.Slots, owners)
	}
}

// checkAddress reports an address that cannot be connected to and a duplicate; different spellings are equal.
func (r *rules) checkAddress(addresses map[netip.AddrPort]bool, path, text string) {
	address, valid := r.parseAddress(path, text)
	if !valid {
		return
	}
	if addresses[address] {
		r.add(path, "duplicate address %q", text)
	}
	addresses[address] = true
}

func (r *rules) checkIndexes(indexes []encoder.Index, targets map[string]bool) map[string]bool {
	names := make(map[string]bool, len(indexes))
	for i, x := range indexes {
		path := fmt.Sprintf("$.indexes[%d]", i)
		r.unique(names, path, "index", x.Name)
		versions := make(map[int]bool, len(x.Versions))
		for j, v := range x.Versions {
			path := fmt.Sprintf("%s.versions[%d]", path, j)
			if versions[v.Version] {
				r.add(path+".version", "duplicate version %d", v.Version)
			}
			versions[v.Version] = true
			r.checkShards(path, v.Shards, targets)
		}
	}
	return names
}

func (r *rules) checkShards(path string, shards []encoder.Shard, targets map[string]bool) {
	if len(shards) == 0 {
		r.add(path+".shards", "a version needs at least one shard")
	}
	names := make(map[string]bool, len(shards))
	documents := 0
	for i, s := range shards {
		path := fmt.Sprintf("%s.shards[%d]", path, i)
		r.unique(names, path, "shard", s.Name)
		if s.Documents > maxDocuments-documents {
			r.add(path+".documents", "the documents of the version add up to more than %d", maxDocuments)
			return
		}
		documents += s.Documents
		r.checkReplicas(path, s.Replicas, targets)
	}
}

func (r *rules) checkReplicas(path string, replicas []string, targets map[string]bool) {
	if len(replicas) == 0 {
		r.add(path+".replicas", "a shard needs at least one replica")
	}
	seen := make(map[string]bool, len(replicas))
	for i, name := range replicas {
		path := fmt.Sprintf("%s.replicas[%d]", path, i)
		if !targets[name] {
			r.add(path, "unknown target %q", name)
		}
		if seen[name] {
			r.add(path, "duplicate replica %q", name)
		}
		seen[name] = true
	}
}

func (r *rules) checkClasses(classes []encoder.QueryClass, indexes map[string]bool) {
	names := make(map[string]bool, len(classes))
	for i, c := range classes {
		path := fmt.Sprintf("$.query-classes[%d]", i)
		r.unique(names, path, "query class", c.Name)
		if !indexes[c.Index] {
			r.add(path+".index", "unknown index %q", c.Index)
		}
	}
}

// parseAddress reports an address that cannot be connected to.
func (r *rules) parseAddress(path, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		r.add(path, "%q is not an IP address and port that can be connected to", text)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

// checkTickets reports query classes whose ticket, with the kept answer, may expire before the deadline.
func (r *rules) checkTickets(classes []encoder.QueryClass, limits encoder.Limits) {
	if limits.TicketMs == 0 {
		return
	}
	for i, c := range classes {
		if !c.Idempotent && c.DeadlineMs > limits.TicketMs {
			r.add(fmt.Sprintf("$.query-classes[%d].deadline-ms", i), "%d ms is longer than the ticket-ms of the limits, %d ms, for a class that is not idempotent", c.DeadlineMs, limits.TicketMs)
		}
	}
}

// CheckMembers returns every broken rule of a member list. Addresses may occur twice: a list that is updated with a
// delay names an instance and its replacement at the same address for a while.
func CheckMembers(wire encoder.MemberList) []Problem {
	r := &rules{}
	names, targets := make(map[string]bool), make(map[string]bool)
	for i, n := range wire.Instances {
		path := fmt.Sprintf("$.instances[%d]", i)
		r.checkName(path+".name", n.Name)
		r.unique(names, path, "instance", n.Name)
		r.checkName(path+".failure-domain", n.FailureDomain)
		r.parseAddress(path+".peer-address", n.PeerAddress)
		r.parseAddress(path+".admin-address", n.AdminAddress)
	}
	for i, t := range wire.Targets {
		path := fmt.Sprintf("$.targets[%d]", i)
		r.checkName(path+".name", t.Name)
		r.unique(targets, path, "target", t.Name)
	}
	return r.problems
}

func (r *rules) checkName(path, name string) {
	if name == "" {
		r.add(path, "is empty")
	}
}
