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

// eventLog collects the events of all instances during the soak, because a killed instance loses its events.
type eventLog struct {
	mu     sync.Mutex
	events []encoder.Event
	// lastClocks holds the clock of the last event read from each instance.
	lastClocks map[string]int
}

func newEventLog() *eventLog {
	return &eventLog{lastClocks: make(map[string]int)}
}

// addFault adds an event for the start or the end of a fault. Such events name "soak" as their instance.
func (l *eventLog) addFault(kind string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, encoder.Event{
		Clock: timekeeper.ValueAt(time.Now()), Instance: "soak", Kind: kind, Subject: f.Subject, Detail: f.String(),
	})
}

// lastClock returns the clock of the last event read from an instance. Events with a greater clock are new.
func (l *eventLog) lastClock(instance string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastClocks[instance]
}

func (l *eventLog) add(instance string, events []encoder.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		if e.Clock > l.lastClocks[instance] {
			l.events = append(l.events, e)
			l.lastClocks[instance] = e.Clock
		}
	}
}

// format returns the events as text, in the order of their clocks. It keeps the faults and the events whose subject or
// query appears in violationText. If violationText is empty, it keeps all events.
func (l *eventLog) format(violationText string) string {
	l.mu.Lock()
	events := slices.Clone(l.events)
	l.mu.Unlock()
	slices.SortStableFunc(events, func(a, b encoder.Event) int { return cmp.Compare(a.Clock, b.Clock) })
	isMentioned := func(name string) bool { return name != "" && strings.Contains(violationText, name) }
	var text strings.Builder
	for _, e := range events {
		if violationText != "" && e.Instance != "soak" && !isMentioned(e.Subject) && !isMentioned(e.Query) {
			continue
		}
		at := timekeeper.WallTime(e.Clock).UTC().Format("15:04:05.000")
		fmt.Fprintf(&text, "%s %-10s %-22s %s %s %s\n", at, e.Instance, e.Kind, e.Subject, e.Query, e.Detail)
	}
	return text.String()
}
