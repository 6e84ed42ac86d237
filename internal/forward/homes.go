package forward

import (
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
)

// reasonOutsideHomes is the reason of an answer where no replica in the request's homes can take it.
const reasonOutsideHomes = "no_replica_in_homes"

// Homes returns the regions in which the request may be served and stored.
func (a Authenticated) Homes() region.Set { return route.Homes(a.Route, a.Tenant) }

// homes returns the regions in which the next attempt may be made: those of the request, and of these, after a change of the configuration,
// the ones that are still allowed.
func (e *exchange) homes() region.Set {
	homes := e.terms.Homes()
	newest := e.handler.routes.Table()
	if newest == nil || newest.Version == e.terms.Table.Version {
		return homes
	}
	if matched := newest.Match(e.request.Host, e.request.URL.Path); matched != nil {
		homes = homes.Intersect(newest.HomesOf(matched, e.terms.TenantName()))
	}
	return homes
}

// servedAtHome says that a replica in the request's homes takes requests. A request that is confined to no regions counts as served: what
// becomes of it shows where a replica is chosen.
func (e *exchange) servedAtHome(now time.Time) bool {
	homes := e.homes()
	if !homes.Limited() {
		return true
	}
	for _, backend := range e.route.Backends {
		if served, _ := e.handler.picker.Room(backend.Service, homes, now); served {
			return true
		}
	}
	return false
}

// passesGate returns what lets a request that is confined to regions through the gate beside the others: its homes have a slot free, or
// nobody there can take it. It is nil for all other requests. The gate knows the whole service alone.
func (e *exchange) passesGate() func(now time.Time) bool {
	homes := e.homes()
	if !homes.Limited() {
		return nil
	}
	return func(now time.Time) bool {
		served, free := e.handler.picker.Room(e.service, homes, now)
		return free || !served
	}
}
