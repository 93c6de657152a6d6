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

// platformLostAfterMs is the maximum age of the platform's latest answer to any instance; beyond it, the platform
// counts as lost. The platform answers a watch within the wait time of the watch, which is well below a minute.
const platformLostAfterMs = 60_000

// memberStateLeaving is the state of an instance that may become unreachable without a fault.
const memberStateLeaving = string(encoder.MemberInstanceStateLeaving)

// States of a target in a status reply, in descending severity. A target in any other state, which is warm or in relay
// mode serving, is healthy.
const (
	targetStateDown = "down"
	// targetStatePartlyDown is the merged state of a target that is down for some of its owners but not for all, such as
	// in a network partition.
	targetStatePartlyDown = "partly-down"
	targetStateClosed     = "closed"
	targetStateLeaving    = "leaving"
	targetStateDraining   = "draining"
	targetStateCold       = "cold"
)

var targetStatesBySeverity = []string{targetStateDown, targetStatePartlyDown, targetStateClosed, targetStateLeaving, targetStateDraining, targetStateCold}

// health is the state of a whole deployment, merged from the replies of the instances that answered.
type health struct {
	Healthy bool `json:"healthy"`
	// Reasons holds the reasons why the deployment is unhealthy; it is empty if the deployment is healthy.
	Reasons        []string             `json:"reasons"`
	Configurations []configurationGroup `json:"configurations"`
	PlatformAgeMs  int                  `json:"platform-age-ms"`
	FailureDomains []domainHealth       `json:"failure-domains"`
	Targets        []targetHealth       `json:"targets"`
	Counters       map[string]int       `json:"counters"`
	// PeriodMs is the period over which PeriodCounters was counted; 0 if it was counted since the start of each instance.
	PeriodMs int `json:"period-ms"`
	// PeriodCounters holds the counters of the period, or since the start of each instance if there is no period.
	PeriodCounters map[string]int        `json:"recent-counters"`
	Unanswered     []unansweredInstance  `json:"unanswered"`
	Statuses       []encoder.StatusReply `json:"instances"`
}

// configurationGroup is a manifest with the instances on which it is in force.
type configurationGroup struct {
	Generation int    `json:"generation"`
	Digest     string `json:"digest"`
	// OldestMs is the longest time for which the manifest has been in force on one of the instances.
	OldestMs  int      `json:"oldest-ms"`
	Instances []string `json:"instances"`
}

// domainHealth holds the number of instances that answered in a failure domain, and the totals of its targets.
type domainHealth struct {
	FailureDomain string         `json:"failure-domain"`
	Instances     int            `json:"instances"`
	States        map[string]int `json:"target-states"`
	InFlight      int            `json:"in-flight"`
}

// targetHealth is the state of a target, merged from the reports of its owners. The numbers are sums over the owners.
type targetHealth struct {
	Target        string `json:"target"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Limit         int    `json:"limit"`
	InFlight      int    `json:"in-flight"`
	Queued        int    `json:"queued"`
	Connections   int    `json:"connections"`
	// LimitReachedAt holds the owners that use their whole limit or have queued sub-queries.
	LimitReachedAt []string `json:"limit-reached-at"`
	Owners         []string `json:"owners"`
	// DownAt holds the owners that cannot connect to the target.
	DownAt []string `json:"down-at"`
}

type unansweredInstance struct {
	Instance     string `json:"instance"`
	AdminAddress string `json:"admin-address"`
	Cause        string `json:"cause"`
}

// newHealth derives the health from the status replies and from the events about applied and refused manifests.
func newHealth(statuses collector.Statuses, manifestEvents []encoder.Event) health {
	h := health{
		Reasons:        []string{},
		Configurations: groupByConfiguration(statuses.Replies),
		PlatformAgeMs:  minPlatformAgeMs(statuses.Replies),
		Targets:        mergeTargets(statuses.Replies),
		Counters:       sumCounters(statuses.Replies),
		Unanswered:     []unansweredInstance{},
		Statuses:       statuses.Replies,
	}
	for _, f := range statuses.Failures {
		h.Unanswered = append(h.Unanswered, unansweredInstance{Instance: f.Instance.Name, AdminAddress: f.Instance.AdminAddress, Cause: f.Cause.Error()})
		if !f.Instance.Leaving {
			h.addReason("instance %s did not answer: %v", f.Instance, f.Cause)
		}
	}
	h.FailureDomains = groupByFailureDomain(h.Statuses, h.Targets)
	h.addRefusedManifestReasons(manifestEvents)
	h.addInstanceReasons()
	h.addConfigurationReasons()
	h.addTargetReasons()
	h.PeriodCounters = h.Counters
	h.addCounterReasons()
	h.Healthy = len(h.Reasons) == 0
	return h
}

// addReason adds a reason why the deployment is unhealthy.
func (h *health) addReason(format string, arguments ...any) {
	h.Reasons = append(h.Reasons, quoteUnprintable(fmt.Sprintf(format, arguments...)))
}

func (h *health) addInstanceReasons() {
	unreachableFrom := make(map[string][]string)
	for _, s := range h.Statuses {
		if !s.Ready && !isListedAsLeaving(s) {
			h.addReason("instance %s is not ready", s.Instance)
		}
		for _, m := range s.Members {
			if !m.Reachable && m.Instance != s.Instance && m.State != memberStateLeaving {
				unreachableFrom[m.Instance] = append(unreachableFrom[m.Instance], s.Instance)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unreachableFrom)) {
		h.addReason("instance %s cannot be reached by %s", name, formatNames(unreachableFrom[name]))
	}
}

// isListedAsLeaving reports whether the instance sees itself listed as leaving.
func isListedAsLeaving(s encoder.StatusReply) bool {
	return slices.ContainsFunc(s.Members, func(m encoder.MemberStatus) bool {
		return m.Instance == s.Instance && m.State == memberStateLeaving
	})
}

func (h *health) addConfigurationReasons() {
	for i, c := range h.Configurations {
		// The first group has the newest manifest.
		if i > 0 {
			h.addReason("generation %d is still in force on %s", c.Generation, strings.Join(c.Instances, ", "))
		}
	}
	if len(h.Statuses) > 0 && h.PlatformAgeMs > platformLostAfterMs {
		h.addReason("the platform has answered no instance for %s", formatAge(h.PlatformAgeMs))
	}
}

// addRefusedManifestReasons adds a reason for each manifest that instances refused after they had applied the one in
// force, which is the case if the latest event of the instance is a refusal.
func (h *health) addRefusedManifestReasons(events []encoder.Event) {
	latestEvents := make(map[string]encoder.Event)
	for _, e := range events {
		latestEvents[e.Instance] = e
	}
	refusedBy := make(map[string][]string)
	for _, name := range slices.Sorted(maps.Keys(latestEvents)) {
		if e := latestEvents[name]; e.Kind == string(recorder.KindManifestRefused) {
			refusedBy[e.Detail] = append(refusedBy[e.Detail], name)
		}
	}
	for _, detail := range slices.Sorted(maps.Keys(refusedBy)) {
		h.addReason("the latest manifest was refused by %s: %s", formatNames(refusedBy[detail]), detail)
	}
}

func (h *health) addTargetReasons() {
	for _, t := range h.Targets {
		switch t.State {
		case targetStateDown:
			h.addReason("target %s is down, reported by %s", t.Target, strings.Join(t.DownAt, ", "))
		case targetStatePartlyDown:
			upAt := slices.DeleteFunc(slices.Clone(t.Owners), func(name string) bool { return slices.Contains(t.DownAt, name) })
			h.addReason("target %s is down for %s, but not for %s", t.Target, strings.Join(t.DownAt, ", "), strings.Join(upAt, ", "))
		}
	}
	var withoutLease []string
	for _, t := range h.Targets {
		if t.State == targetStateCold && t.Limit == 0 {
			withoutLease = append(withoutLease, t.Target)
		}
	}
	if len(withoutLease) > 0 {
		h.addReason("%s cold and may receive no work, because no owner holds a lease: %s", formatCount(len(withoutLease), "target"), formatNames(withoutLease))
	}
}

func (h *health) addCounterReasons() {
	for _, name := range slices.Sorted(maps.Keys(h.Counters)) {
		value := h.Counters[name]
		// The only counter of this kind is invariant-violations.
		if value > 0 && strings.Contains(name, "violat") {
			h.addReason("counter %s is %d: an invariant was violated", name, value)
		}
	}
}

// groupByConfiguration groups the instances by the manifest in force, the newest manifest first.
func groupByConfiguration(replies []encoder.StatusReply) []configurationGroup {
	groups := []configurationGroup{}
	for _, s := range replies {
		i := slices.IndexFunc(groups, func(c configurationGroup) bool { return c.Generation == s.Generation && c.Digest == s.Digest })
		if i < 0 {
			i = len(groups)
			groups = append(groups, configurationGroup{Generation: s.Generation, Digest: s.Digest})
		}
		groups[i].OldestMs = max(groups[i].OldestMs, s.ConfigurationAgeMs)
		groups[i].Instances = append(groups[i].Instances, s.Instance)
	}
	slices.SortFunc(groups, func(a, b configurationGroup) int {
		return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(b.Digest, a.Digest))
	})
	return groups
}

// minPlatformAgeMs returns the time since the platform last answered any instance. The minimum over the instances
// counts, because only a few of them watch the platform.
func minPlatformAgeMs(replies []encoder.StatusReply) int {
	if len(replies) == 0 {
		return 0
	}
	return slices.MinFunc(replies, func(a, b encoder.StatusReply) int { return cmp.Compare(a.PlatformAgeMs, b.PlatformAgeMs) }).PlatformAgeMs
}

// mergeTargets merges the reports of the owners of each target: the most severe state, but partly-down instead of down
// if only some owners report it as down, and the sums of the numbers. The result is sorted by severity, then name.
func mergeTargets(replies []encoder.StatusReply) []targetHealth {
	indexes := make(map[string]int)
	merged := []targetHealth{}
	for _, s := range replies {
		for _, t := range s.Targets {
			i, found := indexes[t.Target]
			if !found {
				i = len(merged)
				indexes[t.Target] = i
				merged = append(merged, targetHealth{Target: t.Target, FailureDomain: t.FailureDomain, State: t.State, LimitReachedAt: []string{}, DownAt: []string{}})
			}
			merged[i].add(s.Instance, t)
		}
	}
	for i, t := range merged {
		if t.State == targetStateDown && len(t.DownAt) < len(t.Owners) {
			merged[i].State = targetStatePartlyDown
		}
	}
	slices.SortFunc(merged, func(a, b targetHealth) int {
		return cmp.Or(cmp.Compare(severityRank(a.State), severityRank(b.State)), cmp.Compare(a.Target, b.Target))
	})
	return merged
}

func (t *targetHealth) add(instance string, s encoder.TargetStatus) {
	if severityRank(s.State) < severityRank(t.State) {
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
	if s.State == targetStateDown {
		t.DownAt = append(t.DownAt, instance)
	}
}

// groupByFailureDomain groups instances and targets by failure domain. The result is sorted by name.
func groupByFailureDomain(replies []encoder.StatusReply, targets []targetHealth) []domainHealth {
	byName := make(map[string]*domainHealth)
	domain := func(name string) *domainHealth {
		if byName[name] == nil {
			byName[name] = &domainHealth{FailureDomain: name, States: make(map[string]int)}
		}
		return byName[name]
	}
	for _, s := range replies {
		domain(s.FailureDomain).Instances++
	}
	for _, t := range targets {
		d := domain(t.FailureDomain)
		d.States[t.State]++
		d.InFlight += t.InFlight
	}
	list := []domainHealth{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// severityRank returns the position of a state in targetStatesBySeverity: 0 is the most severe one, and all healthy
// states share the highest rank.
func severityRank(state string) int {
	i := slices.Index(targetStatesBySeverity, state)
	if i < 0 {
		return len(targetStatesBySeverity)
	}
	return i
}

// countersSince returns the increase of the counters from the earlier replies to the later ones. An instance that was
// restarted in between is counted from its start.
func countersSince(earlier, later []encoder.StatusReply) map[string]int {
	sums := sumCounters(later)
	for _, s := range later {
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
