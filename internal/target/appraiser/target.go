package appraiser

import (
	"math"
	"slices"
	"time"
)

const (
	// reportHalfLife is the half-life of the weight of a report. Machines are slow for about 90 ms at a time and queues
	// are as short, so that a report says little after 0.3 s.
	reportHalfLife = 60 * time.Millisecond
	// usualFactorWeight and usualOthersWeight are the weights of the latest report in the means that replace old reports.
	usualFactorWeight = 0.05
	usualOthersWeight = 0.1
	// meanHalfLife is the half-life of these means while the target sends no reports.
	meanHalfLife = 5 * time.Second
	// relativeWeight is the lowest weight of the latest sample in the relative speed of a target, and relativeHalfLife the
	// time in which a target without samples gets half-way back to the speed of the others, so that it is tried again.
	relativeWeight   = 0.05
	relativeHalfLife = 10 * time.Second
	// minRelative and maxRelative limit the relative speed. Targets of a service differ by 0.8 to 1.3; the wide limits
	// compensate a work factor that is reported wrongly.
	minRelative = 0.1
	maxRelative = 4
	// maxOthersPerSlot limits the requests of other instances that a report can show, for each slot of the target. All
	// instances together send 2.5 for each slot.
	maxOthersPerSlot = 4
	// defaultSlots is assumed for targets whose slots are unknown, and maxSlots limits what a report can state.
	defaultSlots = 2
	maxSlots     = 1024
)

// Report is the load that a target reports in a reply.
type Report struct {
	Running, Waiting, Slots int
	// WorkFactor is the duration of work on the target's machine relative to the usual one; 0 if it is not reported.
	WorkFactor float64
}

// target is the state of one target.
type target struct {
	// service is the service of the target.
	service *service
	// report is the latest one, sent at reportAt; reportAt is zero if there is none.
	report   Report
	reportAt time.Time
	// factor is the work factor of the latest report that states one, sent at factorAt; it is 1 before the first.
	factor   float64
	factorAt time.Time
	// others is the number of requests of other instances that the latest report shows.
	others float64
	// usualFactor and usualOthers are the moving means of factor and others.
	usualFactor, usualOthers float64
	// relative is the duration of work on the target relative to the other targets, at the same work factor, as of
	// relativeAt. relativeSamples is the sum of the weights of its samples.
	relative        float64
	relativeAt      time.Time
	relativeSamples float64
	// inFlight holds the requests of this instance in flight, in the order of their start.
	inFlight []*Request
}

func newTarget(s *service) *target {
	return &target{service: s, factor: 1, usualFactor: 1, relative: 1}
}

// observe records a report that the target sent at the given time.
func (t *target) observe(sentAt time.Time, report Report, slots int) {
	if report.WorkFactor > 0 && sentAt.After(t.factorAt) {
		if t.factorAt.IsZero() {
			t.usualFactor = report.WorkFactor
		}
		t.usualFactor += usualFactorWeight * (report.WorkFactor - t.usualFactor)
		t.factor, t.factorAt = report.WorkFactor, sentAt
	}
	if !sentAt.After(t.reportAt) {
		return
	}
	own := 0
	for _, r := range t.inFlight {
		if !r.arrival().After(sentAt) {
			own++
		}
	}
	t.report, t.reportAt = report, sentAt
	t.others = float64(min(max(report.Running+report.Waiting-own, 0), maxOthersPerSlot*slots))
	t.usualOthers += usualOthersWeight * (t.others - t.usualOthers)
}

// decay returns the share that is left after some time with the half-life. Times in the future count as now.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

// currentFactor returns the expected work factor: the reported one, which gives way to the usual one as it ages.
func (t *target) currentFactor(now time.Time) float64 {
	if t.factorAt.IsZero() {
		return 1
	}
	age := now.Sub(t.factorAt)
	usual := 1 + (t.usualFactor-1)*decay(age, meanHalfLife)
	return usual + (t.factor-usual)*decay(age, reportHalfLife)
}

// currentOthers returns the expected number of requests of other instances.
func (t *target) currentOthers(now time.Time) float64 {
	if t.reportAt.IsZero() {
		return 0
	}
	age := now.Sub(t.reportAt)
	usual := t.usualOthers * decay(age, meanHalfLife)
	return usual + (t.others-usual)*decay(age, reportHalfLife)
}

func (t *target) currentRelative(now time.Time) float64 {
	return 1 + (t.relative-1)*decay(now.Sub(t.relativeAt), relativeHalfLife)
}

// recordRelative adds a sample of the work relative to the usual work of its route.
func (t *target) recordRelative(now time.Time, ratio, weight float64) {
	t.relativeSamples += weight
	current := t.currentRelative(now)
	step := min(weight*max(1/(t.relativeSamples+1), relativeWeight), 1)
	t.relative = min(max(current+step*(ratio-current), minRelative), maxRelative)
	t.relativeAt = now
}

// slots returns the slots of the target: those of its directory entry, or those that it reports.
func (t *target) slots(listed int) int {
	switch {
	case listed > 0:
		return min(listed, maxSlots)
	case t != nil && t.report.Slots > 0:
		return min(t.report.Slots, maxSlots)
	}
	return defaultSlots
}

func (t *target) remove(r *Request) {
	if i := slices.Index(t.inFlight, r); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
}
