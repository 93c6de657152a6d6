package budgeter_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/budgeter"
)

// newBudgeter returns a budgeter of a single instance with a fifth of the needed requests as its budget.
func newBudgeter(slack float64, now *time.Time) *budgeter.Budgeter {
	return budgeter.New(budgeter.Limits{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}, func() int { return 1 },
		budgeter.WithClock(func() time.Time { return *now }))
}

// takeFor takes extra requests of the tenant, more than the budget allows, and returns how many it allowed.
func takeFor(b *budgeter.Budgeter, tenant string) int {
	taken := 0
	for range 1000 {
		if b.TakeExtra("s", tenant, 1) {
			taken++
		}
	}
	return taken
}

// Guards against a tenant whose requests all fail and that uses up the retries of the whole service.
func TestTenantCannotUseUpWhatOthersHaveEarned(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBudgeter(0, &now)
	for range 300 {
		b.RecordNeeded("s", "a")
		b.RecordNeeded("s", "b")
		b.RecordNeeded("s", "")
	}
	// The budget is 0.85 x 0.2 x 900 = 153, 51 for each; half of the others' parts is reserved.
	assert.Equal(t, takeFor(b, "a"), 102)
	assert.Equal(t, takeFor(b, "b"), 25)
	assert.Equal(t, takeFor(b, ""), 25)
}

// Guards against more extra requests than without tenants, against reserves that others take, and against counts of more
// tenants than are kept.
func TestTenantsTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		b, reference := newBudgeter(20, &now), newBudgeter(20, &now)
		needed := make(map[string]int)
		tenants := rapid.SampledFrom([]string{"", "a", "b", "c"})
		for range rapid.IntRange(1, 100).Draw(t, "needed") {
			tenant := tenants.Draw(t, "tenant")
			for range 10 {
				b.RecordNeeded("s", tenant)
				reference.RecordNeeded("s", "")
				needed[tenant]++
			}
		}
		allowed, taken := takeAll(reference), 0
		order := rapid.Permutation([]string{"", "a", "b", "c"}).Draw(t, "order")
		for _, tenant := range order {
			n := takeFor(b, tenant)
			taken += n
			// Rounding leaves each tenant up to one request less.
			if reserve := 0.5 * 0.85 * 0.2 * float64(needed[tenant]); float64(n) < reserve-1 {
				t.Fatalf("tenant %q of %v got %d, its reserve is %g", tenant, order, n, reserve)
			}
		}
		if taken > allowed {
			t.Fatalf("%d extra requests, %d are allowed without tenants", taken, allowed)
		}
	})
}

// Guards against state that grows with the number of tenants, and against a budget that is lost with those that are not
// counted on their own.
func TestTenantsBeyondBoundShareOneReserve(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBudgeter(0, &now)
	for i := range 2000 {
		b.RecordNeeded("s", strconv.Itoa(i))
	}
	assert.Equal(t, b.CountedTenants("s"), 256)
	// Nobody else has earned a whole request, so that little is reserved for others.
	assert.Assert(t, takeFor(b, "1999") > 300)
	now = now.Add(11 * time.Second)
	b.RecordNeeded("s", "a")
	assert.Equal(t, b.CountedTenants("s"), 1)
}
