package allotter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/allotter"
)

// custody is a custodian among other instances.
type custody struct {
	now     time.Duration
	members []allotter.Member
	tracker *allotter.Tracker
	issuer  *allotter.Issuer
}

// newCustody returns an instance that holds portions of a limit and has the others in its list from the start.
func newCustody(names ...string) *custody {
	c := &custody{now: time.Hour}
	c.setMembers(names...)
	c.tracker = allotter.NewTracker(names[0], "d", c.now)
	c.tracker.Update(c.now, c.members, allotter.Seeds{})
	c.issuer = allotter.NewIssuer(bounds, c.tracker)
	return c
}

func (c *custody) setMembers(names ...string) {
	c.members = nil
	for _, name := range names {
		c.members = append(c.members, allotter.Member{Name: name, FailureDomain: "d"})
	}
}

func (c *custody) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.now += 100 * time.Millisecond
		c.tracker.Update(c.now, c.members, allotter.Seeds{})
	}
}

// take asks for tokens and returns how many are granted, and how many inquiries have to be made before.
func (c *custody) take() (granted int, inquiries []allotter.Inquiry) {
	reply, inquiries := c.issuer.Take(c.now, allotter.Request{Tenant: tenant, Limit: highLimit, Version: 1, Wanted: 1})
	return reply.Granted, inquiries
}

func (c *custody) takeWithAnswer(a allotter.Answer) int {
	_, inquiries := c.take()
	for _, q := range inquiries {
		c.issuer.Answered(c.now, q, a)
	}
	granted, _ := c.take()
	return granted
}

// Guards against a custodian that goes on after a standstill in which others may have taken over its portions.
func TestCustodianAsksOthersWhenItStoodStill(t *testing.T) {
	c := newCustody("a", "b")
	c.run(time.Minute)
	granted, _ := c.take()
	assert.Equal(t, granted, 1)
	c.now += 10 * time.Second
	granted, inquiries := c.take()
	assert.Equal(t, granted, 0)
	assert.Equal(t, len(inquiries), 1)
}

// Guards against two instances that issue the same portion because their lists differ.
func TestCustodianIssuesNothingWhenOtherObjects(t *testing.T) {
	for answer, expected := range map[allotter.Answer]int{allotter.Agreed: 1, allotter.Objected: 0, allotter.Unreached: 0} {
		c := newCustody("a", "b")
		c.run(10 * time.Second)
		assert.Equal(t, c.takeWithAnswer(answer), expected)
	}
}

// Guards against a new process that issues tokens while its list still grows.
func TestNewProcessIssuesNothingWhileItsListGrows(t *testing.T) {
	c := newCustody("a", "b")
	c.run(3 * time.Second)
	c.setMembers("a", "b", "c")
	c.run(500 * time.Millisecond)
	granted, inquiries := c.take()
	assert.Equal(t, granted+len(inquiries), 0)
	c.run(time.Second)
	assert.Equal(t, c.takeWithAnswer(allotter.Agreed), 1)
}

// Guards against portions that a custodian adds to its own while their holder still issues them.
func TestCustodianAsksOthersWhenItGetsMorePortions(t *testing.T) {
	c := newCustody("a", "b", "c")
	c.run(time.Minute)
	granted, _ := c.take()
	assert.Equal(t, granted, 1)
	c.setMembers("a", "b")
	c.run(time.Second)
	granted, inquiries := c.take()
	assert.Equal(t, granted, 0)
	assert.Equal(t, len(inquiries), 1)
}

// Guards against initial tokens that an instance issues without end, after it has joined, or to askers that know the others.
func TestInitialTokensAreIssuedOnlyWhileJoining(t *testing.T) {
	limit := allotter.Limit{Rate: 5, Burst: 5}
	take := func(c *custody, initial bool) int {
		reply, _ := c.issuer.Take(c.now, allotter.Request{Tenant: "t", Limit: limit, Version: 1, Wanted: 10, Initial: initial})
		return reply.Granted
	}
	c := newCustody("a", "b", "c", "d", "e", "f", "g", "h")
	assert.Equal(t, take(c, false), 0)
	assert.Equal(t, take(c, true), 4)
	assert.Equal(t, take(c, true), 0)
	late := newCustody("a", "b", "c", "d", "e", "f", "g", "h")
	late.run(allotter.JoinTime + time.Second)
	before := take(late, false)
	assert.Equal(t, take(late, true), 0, "%d tokens were issued before", before)

	seeds := map[string]string{"10.0.0.1:1": "a", "10.0.0.2:1": "b", "10.0.0.3:1": ""}
	chosen := make(map[string]int)
	for i := range 300 {
		chosen[allotter.InitialIssuer(fmt.Sprint("t", i), seeds)]++
	}
	assert.Equal(t, len(chosen), 3)
	assert.Equal(t, allotter.InitialIssuer("t", nil), "")
}
