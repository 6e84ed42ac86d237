package balance

import (
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// notExcluded drops replicas that have had the request.
func notExcluded(request *Request, handle *replica.Handle, _ time.Time) bool {
	return !slices.Contains(request.Excluded, handle)
}

// usable drops replicas that drain or are gone.
func usable(_ *Request, handle *replica.Handle, _ time.Time) bool { return handle.Usable() }

// notAvoided drops replicas that failed or refused a moment ago.
func notAvoided(_ *Request, handle *replica.Handle, now time.Time) bool { return !handle.Avoided(now) }

// inReachedZone drops replicas of zones that are cut off from this process.
func inReachedZone(_ *Request, handle *replica.Handle, _ time.Time) bool { return !handle.ZoneCutOff() }

// underOccupancy drops replicas that are fuller than the request allows.
func underOccupancy(request *Request, handle *replica.Handle, now time.Time) bool {
	return request.MaxOccupancy <= 0 || occupancy(handle, now) < request.MaxOccupancy
}

// occupancy is the share of the replica's slots in use or waited for.
func occupancy(handle *replica.Handle, now time.Time) float64 {
	return handle.Occupancy(now) / float64(max(1, handle.Info().Slots))
}
