package delegator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/delegator"
)

// fleet is a fleet in which the first instances are stranded and the others able, for replays of the ledgers of all stranded
// instances in virtual time.
type fleet struct {
	names    []string
	stranded int
	ledgers  []*delegator.Ledger
	// failedRounds holds the number of rounds in a row without an able instance of each ledger.
	failedRounds []int
	now          time.Time
}

func newFleet(instances, stranded int) *fleet {
	f := &fleet{stranded: stranded, now: time.Unix(0, 0)}
	for i := range instances {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
	}
	for range stranded {
		f.ledgers = append(f.ledgers, delegator.NewLedger())
	}
	f.failedRounds = make([]int, stranded)
	return f
}

// askRound lets each stranded instance ask others.
func (f *fleet) askRound() (questions int) {
	able := make(map[string]bool)
	for _, name := range f.names[f.stranded:] {
		able[name] = true
	}
	for i, l := range f.ledgers {
		others := append(append([]string{}, f.names[:i]...), f.names[i+1:]...)
		found := false
		for _, name := range l.Candidates(others, f.failedRounds[i], f.now) {
			l.RecordAbility(name, able[name], f.now)
			questions++
			found = found || able[name]
		}
		f.failedRounds[i]++
		if found {
			f.failedRounds[i] = 0
		}
	}
	return questions
}

// Load pattern: most of the instances are stranded at once, and each has requests in hand at others. The able ones must
// share them about evenly, stranded ones get none, and the questions stay bounded in a large fleet.
func TestStrandedInstancesShareTheAbleOnesEvenly(t *testing.T) {
	for _, c := range []struct{ instances, stranded int }{{5, 3}, {26, 16}, {29, 28}, {118, 70}, {400, 100}} {
		t.Run(fmt.Sprintf("%d of %d", c.stranded, c.instances), func(t *testing.T) {
			f := newFleet(c.instances, c.stranded)
			const rounds, perRound = 30, 6
			received := make(map[string]int)
			handedOver := 0
			for round := range rounds {
				questions := f.askRound()
				assert.Assert(t, questions <= 64*c.stranded, questions)
				if round > 3 {
					assert.Assert(t, questions <= 8*c.stranded, questions)
				}
				var ends []func()
				for range perRound {
					for _, l := range f.ledgers {
						name, found := l.Choose(f.now, nil)
						if !found {
							continue
						}
						received[name]++
						handedOver++
						ends = append(ends, l.Begin(name))
					}
				}
				if round > 3 {
					assert.Equal(t, len(ends), perRound*c.stranded)
				}
				for _, end := range ends {
					end()
				}
				f.now = f.now.Add(300 * time.Millisecond)
			}
			mean := float64(handedOver) / float64(c.instances-c.stranded)
			for i, name := range f.names {
				if i < c.stranded {
					assert.Equal(t, received[name], 0, name)
					continue
				}
				assert.Assert(t, float64(received[name]) < 2*mean, "%s: %d, mean %.0f", name, received[name], mean)
			}
		})
	}
}

// Guards against requests that go to an instance on the strength of an old statement, or to one that has just failed.
func TestInstanceIsChosenOnlyOnRecentStatement(t *testing.T) {
	l, now := delegator.NewLedger(), time.Unix(0, 0)
	l.RecordAbility("a", true, now)
	name, found := l.Choose(now.Add(900*time.Millisecond), nil)
	assert.Assert(t, found)
	assert.Equal(t, name, "a")
	_, found = l.Choose(now.Add(1100*time.Millisecond), nil)
	assert.Assert(t, !found)
	_, found = l.Choose(now, []string{"a"})
	assert.Assert(t, !found)
	l.Suspend("a", now)
	l.RecordAbility("a", true, now)
	_, found = l.Choose(now, nil)
	assert.Assert(t, !found)
	assert.Equal(t, len(l.Candidates([]string{"a"}, 0, now)), 0)
	assert.Equal(t, len(l.Candidates([]string{"a"}, 0, now.Add(3*time.Second))), 1)
}

// Load pattern: one of the able instances answers slowly. It must get less than the others.
func TestSlowInstanceGetsFewerRequests(t *testing.T) {
	l, now := delegator.NewLedger(), time.Unix(0, 0)
	for _, name := range []string{"slow", "b", "c"} {
		l.RecordAbility(name, true, now)
	}
	received := make(map[string]int)
	for range 300 {
		name, _ := l.Choose(now, nil)
		received[name]++
		end := l.Begin(name)
		if name != "slow" || received[name]%10 == 0 {
			end()
		}
	}
	assert.Assert(t, received["slow"] < 30, received["slow"])
}
