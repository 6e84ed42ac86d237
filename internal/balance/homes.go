package balance

import (
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// inAllowedRegions drops replicas outside the regions in request.Homes. If these are limited, a zone of unknown region is in none of them.
func (p *Picker) inAllowedRegions(request *Request, handle *replica.Handle, _ time.Time) bool {
	return p.InAllowedRegion(request.Homes, handle)
}

// InAllowedRegion reports whether the replica is in one of the allowed regions.
func (p *Picker) InAllowedRegion(allowed region.Set, handle *replica.Handle) bool {
	// Most requests are not limited to regions and need no lookup of the zone.
	return !allowed.Limited() || allowed.Allows(p.topology.RegionOf(handle.Info().Zone))
}

// Availability reports on the replicas of a service in the allowed regions: served is true if one of them accepts new requests, free if one of
// them also has a free slot and has not failed or refused a request recently.
func (p *Picker) Availability(service string, allowed region.Set, now time.Time) (served, free bool) {
	for _, handle := range p.directory.View().ForService(service) {
		if !handle.Usable() || !p.InAllowedRegion(allowed, handle) {
			continue
		}
		served = true
		free = free || (!handle.Avoided(now) && occupancy(handle, now) < 1)
	}
	return served, free
}
