package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotflow/internal/standin/deployer"
)

// Kind names a fault.
type Kind string

// Kinds of fault.
const (
	KindKillInstance  Kind = "kill-instance"
	KindPauseInstance Kind = "pause-instance"
	KindStopInstance  Kind = "stop-instance"
	KindAddInstance   Kind = "add-instance"
	KindSilentPeer    Kind = "silent-peer"
	KindKillTarget    Kind = "kill-target"
	KindPauseTarget   Kind = "pause-target"
	KindSilentTarget  Kind = "silent-target"
	KindColdTarget    Kind = "cold-target"
	KindDrainTarget   Kind = "drain-target"
	KindLeavingTarget Kind = "leaving-target"
	KindPartition     Kind = "partition"
	KindCutPlatform   Kind = "cut-platform"
	KindPlatformDown  Kind = "platform-down"
	KindPlatformStale Kind = "platform-stale"
	KindMembersLag    Kind = "members-lag"
	KindPullDomain    Kind = "pull-domain"
	KindNewVersion    Kind = "new-version"
	KindRepartition   Kind = "repartition"
)

var kinds = []Kind{
	KindKillInstance, KindPauseInstance, KindStopInstance, KindAddInstance, KindSilentPeer,
	KindKillTarget, KindPauseTarget, KindSilentTarget, KindColdTarget, KindDrainTarget, KindLeavingTarget,
	KindPartition, KindCutPlatform, KindPlatformDown, KindPlatformStale, KindMembersLag, KindPullDomain,
	KindNewVersion, KindRepartition,
}

const (
	// shortestFault and longestFault bound the time between a fault and its end.
	shortestFault, longestFault = 300 * time.Millisecond, 8 * time.Second
	// longestGap bounds the time between two faults that do not start together.
	longestGap = 3 * time.Second
	// togetherPercent of the faults start at the same time as the fault before.
	togetherPercent = 30
	// repartitionLimit bounds the repartitions of a run, because each doubles the shards of an index.
	repartitionLimit = 2
)

// Fault is one planned fault.
type Fault struct {
	// From and Until count from the start of the schedule.
	From, Until time.Duration
	Kind        Kind
	// Subject is an instance, a target, a failure domain or an index; empty for the platform.
	Subject string
	// Other is the second failure domain of a partition.
	Other string
	// Silent makes a cut swallow data instead of resetting connections.
	Silent bool
}

func (f Fault) String() string {
	text := fmt.Sprintf("%8s to %8s  %s %s", f.From, f.Until, f.Kind, f.Subject)
	if f.Other != "" {
		text += " | " + f.Other
	}
	if f.Silent {
		text += " (silent)"
	}
	return text
}

// scheduler draws the faults of one run.
type scheduler struct {
	random                             *rand.Rand
	instances, targets, domains, index []string
	// busy holds until when a subject has a fault; two faults of one process would undo each other.
	busy         map[string]time.Duration
	repartitions int
}

// Schedule returns the faults of a run of this duration; it depends on its arguments only.
func Schedule(seed uint64, plan deployer.Plan, instances int, duration time.Duration) []Fault {
	s := &scheduler{random: rand.New(rand.NewPCG(seed, 2)), busy: make(map[string]time.Duration)}
	for i := range instances {
		s.instances = append(s.instances, fmt.Sprintf("instance-%d", i+1))
	}
	for _, service := range plan.Manifest.Services {
		for _, t := range service.Targets {
			s.targets = append(s.targets, t.Name)
		}
	}
	for _, d := range plan.Manifest.FailureDomains {
		s.domains = append(s.domains, d.Name)
	}
	for _, x := range plan.Manifest.Indexes {
		s.index = append(s.index, x.Name)
	}
	var faults []Fault
	for at := s.between(0, longestGap); at <= duration-shortestFault; {
		if f, ok := s.draw(at, duration); ok {
			faults = append(faults, f)
		}
		if s.random.IntN(100) >= togetherPercent {
			at += s.between(shortestFault, longestGap)
		}
	}
	return faults
}

func (s *scheduler) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))/time.Millisecond*time.Millisecond
}

// draw returns a fault, or false if its subject already has one.
func (s *scheduler) draw(at, end time.Duration) (Fault, bool) {
	f := Fault{
		From: at, Until: min(end, at+s.between(shortestFault, longestFault)),
		Kind: kinds[s.random.IntN(len(kinds))], Silent: s.random.IntN(2) == 0,
	}
	pick := func(from []string) string { return from[s.random.IntN(len(from))] }
	key := string(f.Kind)
	switch f.Kind {
	case KindKillInstance, KindPauseInstance, KindStopInstance:
		f.Subject = pick(s.instances)
		key = f.Subject
	case KindSilentPeer:
		f.Subject = pick(s.instances)
		key += f.Subject
	case KindKillTarget, KindPauseTarget, KindColdTarget, KindDrainTarget:
		f.Subject = pick(s.targets)
		key = f.Subject
	case KindSilentTarget, KindLeavingTarget:
		f.Subject = pick(s.targets)
		key += f.Subject
	case KindPullDomain, KindCutPlatform:
		f.Subject = pick(s.domains)
	case KindPartition:
		i := s.random.IntN(len(s.domains))
		f.Subject, f.Other = s.domains[i], s.domains[(i+1)%len(s.domains)]
	case KindNewVersion, KindRepartition:
		f.Subject = pick(s.index)
	case KindPlatformDown, KindPlatformStale, KindMembersLag, KindAddInstance:
	}
	if f.Kind != KindPartition && f.Kind != KindCutPlatform {
		f.Silent = false
	}
	if f.Kind == KindRepartition {
		s.repartitions++
	}
	if busy, found := s.busy[key]; found && busy >= f.From || s.repartitions > repartitionLimit && f.Kind == KindRepartition {
		return f, false
	}
	s.busy[key] = f.Until
	return f, true
}
