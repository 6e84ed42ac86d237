package route

import (
	"cmp"
	"slices"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/tenant"
)

// Homes returns the regions in which requests of holder on matched may be served, cached and stored: both bind. holder is nil where there
// is no tenant.
func Homes(matched *Route, holder *tenant.Tenant) region.Set {
	if holder == nil {
		return matched.Regions
	}
	return matched.Regions.Intersect(holder.Regions)
}

// HomesOf returns the same for a tenant's name, which is empty where there is none. A tenant that is no longer declared confines nothing.
func (t *Table) HomesOf(matched *Route, tenantName string) region.Set {
	if t.Tenants == nil || tenantName == "" {
		return matched.Regions
	}
	return Homes(matched, t.Tenants.ByName(tenantName))
}

// Home is a host of batch jobs, by its HostName, whose data is confined to regions.
type Home struct {
	Host    string
	Regions region.Set
}

// BatchHomes returns the confined homes of all batch routes with and without each tenant, each once and in order; none where the table confines nothing.
func (t *Table) BatchHomes() []Home {
	var found []Home
	for _, each := range t.Routes {
		if each.Kind != Batch {
			continue
		}
		found = appendHome(found, each, nil)
		if t.Tenants == nil {
			continue
		}
		for holder := range t.Tenants.All() {
			found = appendHome(found, each, holder)
		}
	}
	slices.SortFunc(found, func(one, other Home) int {
		return cmp.Or(cmp.Compare(one.Host, other.Host), cmp.Compare(one.Regions.String(), other.Regions.String()))
	})
	return found
}

// appendHome adds the home of a route and a tenant where it is confined to regions, and new.
func appendHome(found []Home, matched *Route, holder *tenant.Tenant) []Home {
	regions := Homes(matched, holder)
	if !regions.Limited() || len(regions.Names()) == 0 {
		return found
	}
	host := HostName(matched.Host)
	for _, each := range found {
		if each.Host == host && each.Regions.Equal(regions) {
			return found
		}
	}
	return append(found, Home{Host: host, Regions: regions})
}
