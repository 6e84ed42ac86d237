package balance

import (
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// notExcluded drops replicas that the request was already sent to.
func notExcluded(request *Request, handle *replica.Handle, _ time.Time) bool {
	return !slices.Contains(request.Excluded, handle)
}

// usable drops replicas that are draining or removed.
func usable(_ *Request, handle *replica.Handle, _ time.Time) bool { return handle.Usable() }

// ofOrigin drops replicas that may not go on with the request's answer.
func ofOrigin(request *Request, handle *replica.Handle, _ time.Time) bool {
	return request.Origin.IsZero() || request.Origin.MayContinueAt(handle)
}

// notAvoided drops replicas that failed or refused a request recently.
func notAvoided(_ *Request, handle *replica.Handle, now time.Time) bool { return !handle.Avoided(now) }

// inReachableZone drops replicas in zones that this process cannot reach.
func inReachableZone(_ *Request, handle *replica.Handle, _ time.Time) bool {
	return !handle.ZoneCutOff()
}

// underOccupancy drops replicas whose occupancy is not below the request's MaxOccupancy.
func underOccupancy(request *Request, handle *replica.Handle, now time.Time) bool {
	return request.MaxOccupancy <= 0 || occupancy(handle, now) < request.MaxOccupancy
}

// occupancy returns the running and waiting requests of a replica per slot; it exceeds 1 if requests wait.
func occupancy(handle *replica.Handle, now time.Time) float64 {
	return handle.Occupancy(now) / float64(max(1, handle.Info().Slots))
}
