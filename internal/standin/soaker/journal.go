package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

// journal collects the events of all instances while they run, because a killed instance loses its own.
type journal struct {
	mu     sync.Mutex
	events []encoder.Event
	// read holds the clock of the last event read from each instance.
	read map[string]int
}

func newJournal() *journal {
	return &journal{read: make(map[string]int)}
}

// note adds the start or the end of a fault.
func (j *journal) note(kind string, f Fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, encoder.Event{
		Clock: timekeeper.ValueAt(time.Now()), Instance: "soak", Kind: kind, Subject: f.Subject, Detail: f.String(),
	})
}

// after returns the clock from which on the events of an instance are new.
func (j *journal) after(instance string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.read[instance]
}

func (j *journal) add(instance string, events []encoder.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range events {
		if e.Clock > j.read[instance] {
			j.events = append(j.events, e)
			j.read[instance] = e.Clock
		}
	}
}

// text returns the time line of the events whose subject or query appears in about, and the faults; all events if
// about is empty.
func (j *journal) text(about string) string {
	j.mu.Lock()
	events := slices.Clone(j.events)
	j.mu.Unlock()
	slices.SortStableFunc(events, func(a, b encoder.Event) int { return cmp.Compare(a.Clock, b.Clock) })
	named := func(name string) bool { return name != "" && strings.Contains(about, name) }
	var text strings.Builder
	for _, e := range events {
		if about != "" && e.Instance != "soak" && !named(e.Subject) && !named(e.Query) {
			continue
		}
		at := timekeeper.WallTime(e.Clock).UTC().Format("15:04:05.000")
		fmt.Fprintf(&text, "%s %-10s %-22s %s %s %s\n", at, e.Instance, e.Kind, e.Subject, e.Query, e.Detail)
	}
	return text.String()
}
