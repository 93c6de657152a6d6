package commander

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"apricotflow/internal/operator/collector"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// platformSilenceMs is the age of the platform's last answer to any instance above which it counts as lost. A watch
// is answered after its wait time at the latest, which is well below a minute.
const platformSilenceMs = 60_000

// memberLeaving is the state of an instance that is expected to become unreachable.
const memberLeaving = string(encoder.MemberInstanceStateLeaving)

// States of a target in a status reply, the most severe first. Targets in other states are healthy.
const (
	targetDown = "down"
	// targetPartlyDown is the merged state of a target that some of its owners reach, such as in a partition.
	targetPartlyDown = "partly-down"
	targetClosed     = "closed"
	targetLeaving    = "leaving"
	targetDraining   = "draining"
	targetCold       = "cold"
)

var targetSeverity = []string{targetDown, targetPartlyDown, targetClosed, targetLeaving, targetDraining, targetCold}

// health is the state of a whole deployment, as far as its instances answered.
type health struct {
	Healthy bool `json:"healthy"`
	// Reasons is empty if the deployment is healthy.
	Reasons        []string        `json:"reasons"`
	Configurations []configuration `json:"configurations"`
	PlatformAgeMs  int             `json:"platform-age-ms"`
	FailureDomains []domainHealth  `json:"failure-domains"`
	Targets        []targetHealth  `json:"targets"`
	Counters       map[string]int  `json:"counters"`
	// PeriodMs is 0, or the time over which Recent was counted.
	PeriodMs int `json:"period-ms"`
	// Recent holds the counters of the period, or those since the start of each instance.
	Recent     map[string]int        `json:"recent-counters"`
	Unanswered []unanswered          `json:"unanswered"`
	Statuses   []encoder.StatusReply `json:"instances"`
}

// configuration is one manifest with the instances on which it is in force.
type configuration struct {
	Generation int    `json:"generation"`
	Digest     string `json:"digest"`
	// OldestMs is the longest time for which it has been in force on one of them.
	OldestMs  int      `json:"oldest-ms"`
	Instances []string `json:"instances"`
}

// domainHealth adds up the instances that answered and the targets of a failure domain.
type domainHealth struct {
	FailureDomain string         `json:"failure-domain"`
	Instances     int            `json:"instances"`
	States        map[string]int `json:"target-states"`
	InFlight      int            `json:"in-flight"`
}

// targetHealth adds up what the owners of a target report.
type targetHealth struct {
	Target        string `json:"target"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Limit         int    `json:"limit"`
	InFlight      int    `json:"in-flight"`
	Queued        int    `json:"queued"`
	Connections   int    `json:"connections"`
	// LimitReachedAt holds the owners that use all that they may or have sub-queries waiting.
	LimitReachedAt []string `json:"limit-reached-at"`
	Owners         []string `json:"owners"`
	// DownAt holds the owners that cannot connect to it.
	DownAt []string `json:"down-at"`
}

type unanswered struct {
	Instance     string `json:"instance"`
	AdminAddress string `json:"admin-address"`
	Cause        string `json:"cause"`
}

// assess derives the health from the replies and from the latest events about manifests applied and refused.
func assess(statuses collector.Statuses, refusals []encoder.Event) health {
	h := health{
		Reasons:        []string{},
		Configurations: configurations(statuses.Replies),
		PlatformAgeMs:  platformAge(statuses.Replies),
		Targets:        targets(statuses.Replies),
		Counters:       sumCounters(statuses.Replies),
		Unanswered:     []unanswered{},
		Statuses:       statuses.Replies,
	}
	for _, f := range statuses.Failures {
		h.Unanswered = append(h.Unanswered, unanswered{Instance: f.Instance.Name, AdminAddress: f.Instance.AdminAddress, Cause: f.Cause.Error()})
		if !f.Instance.Leaving {
			h.blame("instance %s did not answer: %v", f.Instance, f.Cause)
		}
	}
	h.FailureDomains = domains(h.Statuses, h.Targets)
	h.judgeRefusals(refusals)
	h.judgeInstances()
	h.judgeConfiguration()
	h.judgeTargets()
	h.Recent = h.Counters
	h.judgeCounters()
	h.Healthy = len(h.Reasons) == 0
	return h
}

func (h *health) blame(format string, arguments ...any) {
	h.Reasons = append(h.Reasons, printable(fmt.Sprintf(format, arguments...)))
}

func (h *health) judgeInstances() {
	unreachable := make(map[string][]string)
	for _, s := range h.Statuses {
		if !s.Ready && !listedLeaving(s) {
			h.blame("instance %s is not ready", s.Instance)
		}
		for _, m := range s.Members {
			if !m.Reachable && m.Instance != s.Instance && m.State != memberLeaving {
				unreachable[m.Instance] = append(unreachable[m.Instance], s.Instance)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unreachable)) {
		h.blame("instance %s cannot be reached by %s", name, names(unreachable[name]))
	}
}

// listedLeaving reports whether the instance knows that it is listed as leaving.
func listedLeaving(s encoder.StatusReply) bool {
	return slices.ContainsFunc(s.Members, func(m encoder.MemberStatus) bool {
		return m.Instance == s.Instance && m.State == memberLeaving
	})
}

func (h *health) judgeConfiguration() {
	for i, c := range h.Configurations {
		if i > 0 {
			h.blame("generation %d is still in force on %s", c.Generation, strings.Join(c.Instances, ", "))
		}
	}
	if len(h.Statuses) > 0 && h.PlatformAgeMs > platformSilenceMs {
		h.blame("the platform has answered no instance for %s", age(h.PlatformAgeMs))
	}
}

// judgeRefusals blames a manifest that an instance refused after it applied the one in force.
func (h *health) judgeRefusals(events []encoder.Event) {
	latest := make(map[string]encoder.Event)
	for _, e := range events {
		latest[e.Instance] = e
	}
	refusing := make(map[string][]string)
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		if e := latest[name]; e.Kind == string(recorder.KindManifestRefused) {
			refusing[e.Detail] = append(refusing[e.Detail], name)
		}
	}
	for _, detail := range slices.Sorted(maps.Keys(refusing)) {
		h.blame("the latest manifest was refused by %s: %s", names(refusing[detail]), detail)
	}
}

func (h *health) judgeTargets() {
	for _, t := range h.Targets {
		switch t.State {
		case targetDown:
			h.blame("target %s is down, says %s", t.Target, strings.Join(t.DownAt, ", "))
		case targetPartlyDown:
			reached := slices.DeleteFunc(slices.Clone(t.Owners), func(name string) bool { return slices.Contains(t.DownAt, name) })
			h.blame("target %s cannot be reached by %s, but by %s", t.Target, strings.Join(t.DownAt, ", "), strings.Join(reached, ", "))
		}
	}
	var unleased []string
	for _, t := range h.Targets {
		if t.State == targetCold && t.Limit == 0 {
			unleased = append(unleased, t.Target)
		}
	}
	if len(unleased) > 0 {
		h.blame("%s cold and may receive no work, because no owner holds a lease: %s", count(len(unleased), "target"), names(unleased))
	}
}

func (h *health) judgeCounters() {
	for _, name := range slices.Sorted(maps.Keys(h.Counters)) {
		value := h.Counters[name]
		if value > 0 && strings.Contains(name, "violat") {
			h.blame("counter %s is %d: an invariant was violated", name, value)
		}
	}
}

// configurations groups the instances by manifest, the newest first.
func configurations(replies []encoder.StatusReply) []configuration {
	groups := []configuration{}
	for _, s := range replies {
		i := slices.IndexFunc(groups, func(c configuration) bool { return c.Generation == s.Generation && c.Digest == s.Digest })
		if i < 0 {
			i = len(groups)
			groups = append(groups, configuration{Generation: s.Generation, Digest: s.Digest})
		}
		groups[i].OldestMs = max(groups[i].OldestMs, s.ConfigurationAgeMs)
		groups[i].Instances = append(groups[i].Instances, s.Instance)
	}
	slices.SortFunc(groups, func(a, b configuration) int {
		return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(b.Digest, a.Digest))
	})
	return groups
}

// platformAge returns the time since the platform answered any instance: only a few instances watch it.
func platformAge(replies []encoder.StatusReply) int {
	if len(replies) == 0 {
		return 0
	}
	return slices.MinFunc(replies, func(a, b encoder.StatusReply) int { return cmp.Compare(a.PlatformAgeMs, b.PlatformAgeMs) }).PlatformAgeMs
}

// targets merges what the owners report: the most severe state and the sums. They are sorted by severity and name.
func targets(replies []encoder.StatusReply) []targetHealth {
	places := make(map[string]int)
	merged := []targetHealth{}
	for _, s := range replies {
		for _, t := range s.Targets {
			i, found := places[t.Target]
			if !found {
				i = len(merged)
				places[t.Target] = i
				merged = append(merged, targetHealth{Target: t.Target, FailureDomain: t.FailureDomain, State: t.State, LimitReachedAt: []string{}, DownAt: []string{}})
			}
			merged[i].add(s.Instance, t)
		}
	}
	for i, t := range merged {
		if t.State == targetDown && len(t.DownAt) < len(t.Owners) {
			merged[i].State = targetPartlyDown
		}
	}
	slices.SortFunc(merged, func(a, b targetHealth) int {
		return cmp.Or(cmp.Compare(severity(a.State), severity(b.State)), cmp.Compare(a.Target, b.Target))
	})
	return merged
}

func (t *targetHealth) add(instance string, s encoder.TargetStatus) {
	if severity(s.State) < severity(t.State) {
		t.State = s.State
	}
	t.Limit += s.Limit
	t.InFlight += s.InFlight
	t.Queued += s.Queued
	t.Connections += s.Connections
	if s.Queued > 0 || (s.Limit > 0 && s.InFlight >= s.Limit) {
		t.LimitReachedAt = append(t.LimitReachedAt, instance)
	}
	t.Owners = append(t.Owners, instance)
	if s.State == targetDown {
		t.DownAt = append(t.DownAt, instance)
	}
}

// domains groups instances and targets by failure domain, sorted by name.
func domains(replies []encoder.StatusReply, targets []targetHealth) []domainHealth {
	byName := make(map[string]*domainHealth)
	get := func(name string) *domainHealth {
		if byName[name] == nil {
			byName[name] = &domainHealth{FailureDomain: name, States: make(map[string]int)}
		}
		return byName[name]
	}
	for _, s := range replies {
		get(s.FailureDomain).Instances++
	}
	for _, t := range targets {
		d := get(t.FailureDomain)
		d.States[t.State]++
		d.InFlight += t.InFlight
	}
	list := []domainHealth{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

func severity(state string) int {
	i := slices.Index(targetSeverity, state)
	if i < 0 {
		return len(targetSeverity)
	}
	return i
}

// since returns the counters of the replies without what was counted in the earlier ones. An instance that has been
// restarted meanwhile counts from its start.
func since(earlier, replies []encoder.StatusReply) map[string]int {
	sums := sumCounters(replies)
	for _, s := range replies {
		i := slices.IndexFunc(earlier, func(e encoder.StatusReply) bool { return e.Instance == s.Instance && e.Incarnation == s.Incarnation })
		if i < 0 {
			continue
		}
		for name, value := range earlier[i].Counters {
			sums[name] -= value
		}
	}
	maps.DeleteFunc(sums, func(_ string, value int) bool { return value == 0 })
	return sums
}

func sumCounters(replies []encoder.StatusReply) map[string]int {
	sums := make(map[string]int)
	for _, s := range replies {
		for name, value := range s.Counters {
			sums[name] += value
		}
	}
	return sums
}
