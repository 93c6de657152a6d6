package budgeter

// CountedTenants returns the number of tenants that are counted on their own for a service.
func (b *Budgeter) CountedTenants(service string) int {
	u, _, _ := b.currentUsage(service)
	return len(u.tenants)
}
