package route

import (
	"cmp"
	"slices"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/tenant"
)

// AllowedRegions returns the regions in which requests of owner on the matched route may be served, cached and stored: those allowed by both the route
// and the tenant. owner is nil if there is no tenant.
func AllowedRegions(matched *Route, owner *tenant.Tenant) region.Set {
	if owner == nil {
		return matched.Regions
	}
	return matched.Regions.Intersect(owner.Regions)
}

// AllowedRegionsOf returns the same as AllowedRegions for the name of a tenant, which is empty if there is none. A tenant that is no longer
// declared adds no restriction.
func (t *Table) AllowedRegionsOf(matched *Route, tenantName string) region.Set {
	if t.Tenants == nil || tenantName == "" {
		return matched.Regions
	}
	return AllowedRegions(matched, t.Tenants.ByName(tenantName))
}

// ConfinedHost is a host of batch jobs whose data is confined to Regions. Host is in the form of HostName.
type ConfinedHost struct {
	Host    string
	Regions region.Set
}

// ConfinedBatchHosts returns the confined hosts of all batch routes, without a tenant and with each tenant, sorted and without duplicates; nil if
// the table confines no data.
func (t *Table) ConfinedBatchHosts() []ConfinedHost {
	var found []ConfinedHost
	for _, batchRoute := range t.Routes {
		if batchRoute.Kind != Batch {
			continue
		}
		found = appendConfinedHost(found, batchRoute, nil)
		if t.Tenants == nil {
			continue
		}
		for declared := range t.Tenants.All() {
			found = appendConfinedHost(found, batchRoute, declared)
		}
	}
	slices.SortFunc(found, func(a, b ConfinedHost) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Regions.String(), b.Regions.String()))
	})
	return found
}

// appendConfinedHost adds the host of a route if its data is confined to regions for owner, and not in found yet with the same regions.
func appendConfinedHost(found []ConfinedHost, matched *Route, owner *tenant.Tenant) []ConfinedHost {
	regions := AllowedRegions(matched, owner)
	if !regions.Limited() || len(regions.Names()) == 0 {
		return found
	}
	host := HostName(matched.Host)
	for _, known := range found {
		if known.Host == host && known.Regions.Equal(regions) {
			return found
		}
	}
	return append(found, ConfinedHost{Host: host, Regions: regions})
}
