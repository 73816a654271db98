package main

import (
	"fmt"
	"io"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/quota"
)

// printTenants prints where the tenants of a status are counted, and their limits.
func printTenants(w io.Writer, s control.Status) {
	if len(s.Tenants) == 0 {
		if s.TenantCount > 0 {
			fmt.Fprintln(w, "no shards are founded yet: nobody counts tenants")
		}
		return
	}
	if !s.Quotas {
		fmt.Fprintln(w, "quotas are not in force in this deployment: nobody is counted, and no limit binds")
	}
	for _, tenant := range s.Tenants {
		fmt.Fprintf(w, "tenant %s: %s; home shard %d, %s, successors %v\n",
			tenant.Label, limit(tenant), tenant.HomeShard, counting(tenant), tenant.Successors)
	}
}

// printTenantsLeftOut says how many tenants a status has no room for.
func printTenantsLeftOut(w io.Writer, s control.Status) {
	if shown := len(s.Tenants); shown > 0 && shown < s.TenantCount {
		fmt.Fprintf(w, "%d of %d tenants are shown: --tenant LABEL shows any one\n", shown, s.TenantCount)
	}
}

// limit says what a tenant may send.
func limit(t control.TenantStatus) string {
	if !(quota.Limit{Rate: t.PerS, Burst: t.Burst}).Limited() {
		return "no limit"
	}
	return fmt.Sprintf("%g messages a second, burst %g", t.PerS, t.Burst)
}

// counting says who counts a tenant, and how far that can be relied on.
func counting(t control.TenantStatus) string {
	switch {
	case t.Counting == "":
		return "its leader is not known here"
	case t.HeardMs < 0:
		return fmt.Sprintf("led by %s by epoch %d as of its last change of members, perhaps by another since",
			t.Counting, t.Epoch)
	}
	return fmt.Sprintf("led by %s by epoch %d, heard %d ms ago", t.Counting, t.Epoch, t.HeardMs)
}
