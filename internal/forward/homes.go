package forward

import (
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
)

// reasonOutsideHomes is the reason given in an answer when no replica in the request's home regions can take it.
const reasonOutsideHomes = "no_replica_in_homes"

// Homes returns the request's home regions: those in which it may be served and stored.
func (a AuthenticatedRequest) Homes() region.Set { return route.AllowedRegions(a.Route, a.Tenant) }

// homes returns the regions in which the next attempt may be made: the request's homes at its arrival, without those that a newer
// configuration no longer allows.
func (e *exchange) homes() region.Set {
	homes := e.auth.Homes()
	newest := e.handler.routes.Table()
	if newest == nil || newest.Version == e.auth.Table.Version {
		return homes
	}
	if matched := newest.Match(e.request.Host, e.request.URL.Path); matched != nil {
		homes = homes.Intersect(newest.AllowedRegionsOf(matched, e.auth.TenantName()))
	}
	return homes
}

// servedInHomes reports whether a replica in the request's homes takes requests. It is true for a request without home regions: whether
// a replica can take that one is determined when a replica is chosen.
func (e *exchange) servedInHomes(now time.Time) bool {
	homes := e.homes()
	if !homes.Limited() {
		return true
	}
	for _, backend := range e.route.Backends {
		if served, _ := e.handler.picker.Availability(backend.Service, homes, now); served {
			return true
		}
	}
	return false
}

// gateBypass returns the bypass condition of a request that is limited to home regions: its homes have a free slot, or no replica there
// can take it. The gate itself counts slots of the whole service only. It returns nil for requests without home regions.
func (e *exchange) gateBypass() func(now time.Time) bool {
	homes := e.homes()
	if !homes.Limited() {
		return nil
	}
	return func(now time.Time) bool {
		served, free := e.handler.picker.Availability(e.service, homes, now)
		return free || !served
	}
}
