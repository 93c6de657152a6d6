package queuer

// CountedTenants returns the number of tenants that are counted, over all services.
func (q *Queue) CountedTenants() int {
	n := 0
	for _, c := range q.shares.services {
		n += len(c.byTenant)
	}
	return n
}
