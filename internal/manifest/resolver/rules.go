package resolver

import (
	"fmt"

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

// rules collects the problems of one manifest.
type rules struct {
	problems []Problem
}

func check(wire encoder.Manifest) []Problem {
	r := &rules{}
	domains := r.checkDomains(wire.FailureDomains)
	targets := r.checkServices(wire.Services, domains)
	indexes := r.checkIndexes(wire.Indexes, targets)
	r.checkClasses(wire.QueryClasses, indexes)
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

func (r *rules) checkServices(services []encoder.Service, domains map[string]bool) map[string]bool {
	names, targets, addresses := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for i, s := range services {
		path := fmt.Sprintf("$.services[%d]", i)
		r.unique(names, path, "service", s.Name)
		for j, t := range s.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			r.unique(targets, path, "target", t.Name)
			r.checkTarget(path, t, domains)
			if addresses[t.Address] {
				r.add(path+".address", "duplicate address %q", t.Address)
			}
			addresses[t.Address] = true
		}
	}
	return targets
}

func (r *rules) checkTarget(path string, t encoder.Target, domains map[string]bool) {
	if !domains[t.FailureDomain] {
		r.add(path+".failure-domain", "unknown failure domain %q", t.FailureDomain)
	}
	if t.ColdLimit > t.Slots {
		r.add(path+".cold-limit", "cold limit %d is above the %d slots", t.ColdLimit, t.Slots)
	}
	if t.Connections < t.Slots {
		r.add(path+".connections", "%d connections cannot use %d slots", t.Connections, t.Slots)
	}
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
	names := make(map[string]bool, len(shards))
	for i, s := range shards {
		path := fmt.Sprintf("%s.shards[%d]", path, i)
		r.unique(names, path, "shard", s.Name)
		for j, name := range s.Replicas {
			if !targets[name] {
				r.add(fmt.Sprintf("%s.replicas[%d]", path, j), "unknown target %q", name)
			}
		}
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
