package balance

import (
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// inHomes drops replicas outside the regions in which the request may be served. A zone of an unknown region is in no home.
func (p *Picker) inHomes(request *Request, handle *replica.Handle, _ time.Time) bool {
	return p.Allowed(request.Homes, handle)
}

// Allowed says that the replica lies in one of homes.
func (p *Picker) Allowed(homes region.Set, handle *replica.Handle) bool {
	// Most requests are confined to none: they need no look at the zones.
	return !homes.Limited() || homes.Allows(p.topology.RegionOf(handle.Info().Zone))
}

// Room says what the replicas of service within homes can take: served, that one of them takes requests at all; free, that one of them that
// does not fail has a slot free.
func (p *Picker) Room(service string, homes region.Set, now time.Time) (served, free bool) {
	for _, handle := range p.directory.View().Of(service) {
		if !handle.Usable() || !p.Allowed(homes, handle) {
			continue
		}
		served = true
		free = free || (!handle.Avoided(now) && occupancy(handle, now) < 1)
	}
	return served, free
}
