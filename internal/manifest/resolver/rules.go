package resolver

import (
	"fmt"
	"net/netip"
	"strings"

	"apricotflow/internal/wire/encoder"
)

// Problem is one violation of the schema or of a rule in a JSON document.
type Problem struct {
	// Path is the JSON path of the invalid value, such as $.services[0].targets[1].address.
	Path    string
	Message string
}

func (p Problem) String() string {
	return p.Path + ": " + p.Message
}

// maxSummaryProblems limits the number of problems in one error message.
const maxSummaryProblems = 20

// Summarize formats problems for an error message, up to maxSummaryProblems of them.
func Summarize(problems []Problem) string {
	texts := make([]string, 0, maxSummaryProblems+1)
	for _, p := range problems[:min(len(problems), maxSummaryProblems)] {
		texts = append(texts, p.String())
	}
	if len(problems) > maxSummaryProblems {
		texts = append(texts, fmt.Sprintf("and %d more", len(problems)-maxSummaryProblems))
	}
	return strings.Join(texts, "; ")
}

// maxDocuments is the maximum number of documents of an index version. It is the largest integer that every JSON
// implementation represents exactly (2^53 - 1), since coverage is computed from sums of documents.
const maxDocuments = 1<<53 - 1

// ruleChecker collects the problems of one manifest or member list.
type ruleChecker struct {
	problems []Problem
}

func validate(wire encoder.Manifest) []Problem {
	r := &ruleChecker{}
	domains := r.checkDomains(wire.FailureDomains)
	targets := r.checkServices(wire.Services, domains, wire.Limits)
	indexes := r.checkIndexes(wire.Indexes, targets)
	r.checkClasses(wire.QueryClasses, indexes)
	r.checkTicketLifetimes(wire.QueryClasses, wire.Limits)
	newTenants(wire.Tenants, func(path, message string) { r.addProblem("$.tenants"+path, "%s", message) })
	return r.problems
}

func (r *ruleChecker) addProblem(path, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// checkUniqueName adds the name to names and reports a duplicate.
func (r *ruleChecker) checkUniqueName(names map[string]bool, path, kind, name string) {
	if names[name] {
		r.addProblem(path+".name", "duplicate %s %q", kind, name)
	}
	names[name] = true
}

func (r *ruleChecker) checkDomains(domains []encoder.FailureDomain) map[string]bool {
	names := make(map[string]bool, len(domains))
	for i, d := range domains {
		r.checkUniqueName(names, fmt.Sprintf("$.failure-domains[%d]", i), "failure domain", d.Name)
	}
	return names
}

func (r *ruleChecker) checkServices(services []encoder.Service, domains map[string]bool, limits encoder.Limits) map[string]bool {
	names, targets, addresses := make(map[string]bool), make(map[string]bool), make(map[netip.AddrPort]bool)
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		r.checkUniqueName(names, path, "service", s.Name)
		for j, t := range s.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			r.checkUniqueName(targets, path, "target", t.Name)
			r.checkTarget(path, t, domains, limits)
			r.checkAddress(addresses, path+".address", t.Address)
		}
	}
	return targets
}

func (r *ruleChecker) checkTarget(path string, t encoder.Target, domains map[string]bool, limits encoder.Limits) {
	if !domains[t.FailureDomain] {
		r.addProblem(path+".failure-domain", "unknown failure domain %q", t.FailureDomain)
	}
	if t.ColdLimit > t.Slots {
		r.addProblem(path+".cold-limit", "cold limit %d is above the number of slots, %d", t.ColdLimit, t.Slots)
	}
	// The owners divide the slots among themselves and need one connection per slot. Each owner needs one more
	// connection for reports and cancellations.
	owners := min(limits.Owners, t.Slots)
	if t.Connections < t.Slots+owners {
		r.addProblem(path+".connections", "%d connections are too few for %d slots and one more connection for each of %d owners", t.Connections, t.Slots, owners)
	}
}

// checkAddress reports a duplicate address or one that cannot be connected to. Different notations of an address are
// duplicates.
func (r *ruleChecker) checkAddress(addresses map[netip.AddrPort]bool, path, text string) {
	address, valid := r.parseAddress(path, text)
	if !valid {
		return
	}
	if addresses[address] {
		r.addProblem(path, "duplicate address %q", text)
	}
	addresses[address] = true
}

func (r *ruleChecker) checkIndexes(indexes []encoder.Index, targets map[string]bool) map[string]bool {
	names := make(map[string]bool, len(indexes))
	for i, x := range indexes {
		path := fmt.Sprintf("$.indexes[%d]", i)
		r.checkUniqueName(names, path, "index", x.Name)
		versions := make(map[int]bool, len(x.Versions))
		for j, v := range x.Versions {
			path := fmt.Sprintf("%s.versions[%d]", path, j)
			if versions[v.Version] {
				r.addProblem(path+".version", "duplicate version %d", v.Version)
			}
			versions[v.Version] = true
			r.checkShards(path, v.Shards, targets)
		}
	}
	return names
}

func (r *ruleChecker) checkShards(path string, shards []encoder.Shard, targets map[string]bool) {
	if len(shards) == 0 {
		r.addProblem(path+".shards", "a version needs at least one shard")
	}
	names := make(map[string]bool, len(shards))
	documents := 0
	for i, s := range shards {
		path := fmt.Sprintf("%s.shards[%d]", path, i)
		r.checkUniqueName(names, path, "shard", s.Name)
		if s.Documents > maxDocuments-documents {
			r.addProblem(path+".documents", "total number of documents of the version is above %d", maxDocuments)
			return
		}
		documents += s.Documents
		r.checkReplicas(path, s.Replicas, targets)
	}
}

func (r *ruleChecker) checkReplicas(path string, replicas []string, targets map[string]bool) {
	if len(replicas) == 0 {
		r.addProblem(path+".replicas", "a shard needs at least one replica")
	}
	seen := make(map[string]bool, len(replicas))
	for i, name := range replicas {
		path := fmt.Sprintf("%s.replicas[%d]", path, i)
		if !targets[name] {
			r.addProblem(path, "unknown target %q", name)
		}
		if seen[name] {
			r.addProblem(path, "duplicate replica %q", name)
		}
		seen[name] = true
	}
}

func (r *ruleChecker) checkClasses(classes []encoder.QueryClass, indexes map[string]bool) {
	names := make(map[string]bool, len(classes))
	for i, c := range classes {
		path := fmt.Sprintf("$.query-classes[%d]", i)
		r.checkUniqueName(names, path, "query class", c.Name)
		if !indexes[c.Index] {
			r.addProblem(path+".index", "unknown index %q", c.Index)
		}
	}
}

// parseAddress parses an IP address with a port, and reports one that cannot be connected to.
func (r *ruleChecker) parseAddress(path, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		r.addProblem(path, "must be an IP address other than 0.0.0.0 and :: with a port from 1 to 65535, not %q", text)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

// checkTicketLifetimes reports non-idempotent query classes with a deadline that is longer than the lifetime of
// tickets: the ticket, and with it the kept answer, could expire before the deadline.
func (r *ruleChecker) checkTicketLifetimes(classes []encoder.QueryClass, limits encoder.Limits) {
	if limits.TicketMs == 0 {
		return
	}
	for i, c := range classes {
		if !c.Idempotent && c.DeadlineMs > limits.TicketMs {
			r.addProblem(fmt.Sprintf("$.query-classes[%d].deadline-ms", i), "deadline of %d ms is longer than ticket-ms of the limits, %d ms, which a non-idempotent class must not exceed", c.DeadlineMs, limits.TicketMs)
		}
	}
}

// CheckMembers returns every problem of a member list. Duplicate addresses are allowed: a list that is updated with a
// delay can name an instance and its replacement at the same address for a while.
func CheckMembers(wire encoder.MemberList) []Problem {
	r := &ruleChecker{}
	names, targets := make(map[string]bool), make(map[string]bool)
	for i, n := range wire.Instances {
		path := fmt.Sprintf("$.instances[%d]", i)
		r.checkName(path+".name", n.Name)
		r.checkUniqueName(names, path, "instance", n.Name)
		r.checkName(path+".failure-domain", n.FailureDomain)
		r.parseAddress(path+".peer-address", n.PeerAddress)
		r.parseAddress(path+".admin-address", n.AdminAddress)
	}
	for i, t := range wire.Targets {
		path := fmt.Sprintf("$.targets[%d]", i)
		r.checkName(path+".name", t.Name)
		r.checkUniqueName(targets, path, "target", t.Name)
	}
	return r.problems
}

func (r *ruleChecker) checkName(path, name string) {
	if name == "" {
		r.addProblem(path, "is empty")
	}
}
