package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotflow/internal/standin/deployer"
)

// Kind is the kind of a fault, as it appears in the schedule.
type Kind string

// Kinds of fault.
const (
	// KindKillInstance kills an instance and starts it again at the end.
	KindKillInstance  Kind = "kill-instance"
	KindPauseInstance Kind = "pause-instance"
	// KindStopInstance stops an instance gracefully and starts it again at the end.
	KindStopInstance Kind = "stop-instance"
	// KindAddInstance adds an instance and removes it gracefully at the end.
	KindAddInstance Kind = "add-instance"
	// KindSilentPeer permanently silences the open connections from other instances to an instance.
	KindSilentPeer Kind = "silent-peer"
	// KindKillTarget kills a target and starts it again at the end.
	KindKillTarget  Kind = "kill-target"
	KindPauseTarget Kind = "pause-target"
	// KindSilentTarget permanently silences the open connections to a target.
	KindSilentTarget Kind = "silent-target"
	// KindColdTarget makes a target cold, which needs no end because the target warms up.
	KindColdTarget Kind = "cold-target"
	// KindDrainTarget makes a target refuse sub-queries.
	KindDrainTarget Kind = "drain-target"
	// KindLeavingTarget lists a target as leaving in the member list.
	KindLeavingTarget Kind = "leaving-target"
	// KindPartition cuts or silences the links between two failure domains.
	KindPartition Kind = "partition"
	// KindCutPlatform cuts or silences the links from the instances of one failure domain to the platform.
	KindCutPlatform Kind = "cut-platform"
	// KindPlatformDown makes the platform close the connection of every reader without a reply.
	KindPlatformDown Kind = "platform-down"
	// KindPlatformStale makes the platform go on serving the values that it has at the start of the fault.
	KindPlatformStale Kind = "platform-stale"
	// KindMembersLag delays changes of the member list.
	KindMembersLag Kind = "members-lag"
	// KindPullDomain closes a failure domain and opens it again at the end.
	KindPullDomain Kind = "pull-domain"
	// KindNewVersion publishes a new version of an index.
	KindNewVersion Kind = "new-version"
	// KindRepartition publishes a new version of an index with twice the shards.
	KindRepartition Kind = "repartition"
)

var allKinds = []Kind{
	KindKillInstance, KindPauseInstance, KindStopInstance, KindAddInstance, KindSilentPeer,
	KindKillTarget, KindPauseTarget, KindSilentTarget, KindColdTarget, KindDrainTarget, KindLeavingTarget,
	KindPartition, KindCutPlatform, KindPlatformDown, KindPlatformStale, KindMembersLag, KindPullDomain,
	KindNewVersion, KindRepartition,
}

const (
	// minFaultDuration and maxFaultDuration limit the time between the start and the end of a fault.
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 8 * time.Second
	// maxFaultGap is the maximum time between the starts of two faults that do not start together.
	maxFaultGap = 3 * time.Second
	// simultaneousPercent is the percentage of faults that start at the same time as the fault before.
	simultaneousPercent = 30
	// maxRepartitions is the maximum number of repartitions of a soak, because each doubles the shards of an index.
	maxRepartitions = 2
)

// Fault is a fault of the schedule.
type Fault struct {
	// From and Until are the start and the end of the fault, relative to the start of the schedule. If nothing has to
	// end the fault, such as one of KindNewVersion, Until only limits when the next fault with the same key may start
	// (see drawFault).
	From, Until time.Duration
	Kind        Kind
	// Subject is the name of an instance, a target, a failure domain or an index, and empty for the platform.
	Subject string
	// OtherDomain is the second failure domain of a partition.
	OtherDomain string
	// Silent makes a cut link drop data without resetting connections.
	Silent bool
}

func (f Fault) String() string {
	text := fmt.Sprintf("%8s to %8s  %s %s", f.From, f.Until, f.Kind, f.Subject)
	if f.OtherDomain != "" {
		text += " | " + f.OtherDomain
	}
	if f.Silent {
		text += " (silent)"
	}
	return text
}

// scheduler draws the random faults of one soak.
type scheduler struct {
	random                               *rand.Rand
	instances, targets, domains, indexes []string
	// busyUntil holds the end of the last fault of each key, because two concurrent faults of one process would undo
	// each other. See drawFault for the keys.
	busyUntil    map[string]time.Duration
	repartitions int
}

// Schedule returns the faults of a soak of this duration. The same arguments give the same faults.
func Schedule(seed uint64, plan deployer.Plan, instances int, duration time.Duration) []Fault {
	// The second word of the seed differs from those of the load (1) and of the service times (0), so that the random
	// numbers are independent.
	s := &scheduler{random: rand.New(rand.NewPCG(seed, 2)), busyUntil: make(map[string]time.Duration)}
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
		s.indexes = append(s.indexes, x.Name)
	}
	var faults []Fault
	for at := s.randomDuration(0, maxFaultGap); at <= duration-minFaultDuration; {
		if f, ok := s.drawFault(at, duration); ok {
			faults = append(faults, f)
		}
		if s.random.IntN(100) >= simultaneousPercent {
			at += s.randomDuration(minFaultDuration, maxFaultGap)
		}
	}
	return faults
}

func (s *scheduler) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))/time.Millisecond*time.Millisecond
}

// drawFault returns a random fault. It returns false if another fault with the same key lasts at that time, or if the
// soak has its maximum number of repartitions. The key is the process for faults that kill, pause, stop or drain it
// or make it cold, the process and the kind for other faults of a process, and the kind for all others.
func (s *scheduler) drawFault(at, end time.Duration) (Fault, bool) {
	f := Fault{
		From: at, Until: min(end, at+s.randomDuration(minFaultDuration, maxFaultDuration)),
		Kind: allKinds[s.random.IntN(len(allKinds))], Silent: s.random.IntN(2) == 0,
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
		f.Subject, f.OtherDomain = s.domains[i], s.domains[(i+1)%len(s.domains)]
	case KindNewVersion, KindRepartition:
		f.Subject = pick(s.indexes)
	case KindPlatformDown, KindPlatformStale, KindMembersLag, KindAddInstance:
	}
	if f.Kind != KindPartition && f.Kind != KindCutPlatform {
		f.Silent = false
	}
	if f.Kind == KindRepartition {
		s.repartitions++
	}
	if busyUntil, found := s.busyUntil[key]; found && busyUntil >= f.From || s.repartitions > maxRepartitions && f.Kind == KindRepartition {
		return f, false
	}
	s.busyUntil[key] = f.Until
	return f, true
}
