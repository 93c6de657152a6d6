package budgeter

const (
	// reservedFraction is the fraction of what a tenant has earned that no other tenant may use. The rest is shared, since a
	// pause of a target concerns the tenants that use it at that moment more than the others.
	reservedFraction = 0.5
	// maxTenants is the maximum number of tenants that are counted on their own for one service. Others count as anonymous.
	maxTenants = 256
)

// counts holds the numbers of needed and extra requests in each bucket.
type counts struct {
	needed [bucketCount]int32
	extra  [bucketCount]int32
}

// sums returns the numbers of needed and extra requests in all buckets.
func (c *counts) sums() (needed, extra int) {
	for i := range bucketCount {
		needed += int(c.needed[i])
		extra += int(c.extra[i])
	}
	return needed, extra
}

// clear empties the buckets after the latest one up to the given one.
func (c *counts) clear(latest, bucket int) {
	for i := max(latest+1, bucket-bucketCount+1); i <= bucket; i++ {
		c.needed[i%bucketCount], c.extra[i%bucketCount] = 0, 0
	}
}

// merge puts all extra requests into the given bucket and drops the needed ones.
func (c *counts) merge(bucket int) {
	_, extra := c.sums()
	*c = counts{}
	c.extra[bucket%bucketCount] = int32(extra)
}

func (c *counts) isIdle() bool { return *c == counts{} }

// tenant returns the counts of a tenant, which it adds if there is room; nil for anonymous requests.
func (u *usage) tenant(name string) *counts {
	if name == "" {
		return nil
	}
	if c := u.tenants[name]; c != nil {
		return c
	}
	if len(u.tenants) >= maxTenants {
		return nil
	}
	if u.tenants == nil {
		u.tenants = make(map[string]*counts)
	}
	c := &counts{}
	u.tenants[name] = c
	return c
}

// leavesReserves reports whether the tenant may take one of the extra requests that are left: from its own reserve, or if
// the reserves of the others remain. The reserve of a tenant is reservedFraction of the scaled budget that its needed
// requests and an equal part of the slack earn.
func (u *usage) leavesReserves(tenant string, left, scale, ratio, slack float64) bool {
	anonymousNeeded, anonymousExtra := u.total.sums()
	reserve := func(needed, extra int) float64 {
		earned := scale * (ratio*float64(needed) + slack/float64(len(u.tenants)+1))
		return max(reservedFraction*earned-float64(extra), 0)
	}
	reserved := 0.0
	for name, c := range u.tenants {
		needed, extra := c.sums()
		anonymousNeeded -= needed
		anonymousExtra -= extra
		switch r := reserve(needed, extra); {
		case name != tenant:
			reserved += r
		case r >= 1:
			return true
		}
	}
	r := reserve(anonymousNeeded, anonymousExtra)
	if u.tenants[tenant] != nil {
		return left-reserved-r >= 1
	}
	return r >= 1 || left-reserved >= 1
}
