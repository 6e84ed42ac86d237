package batch

import (
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

// mayStart says that the replica may get one more run, or one more lease of a run, and counts it.
func (s *Service) mayStart(handle *replica.Handle) bool {
	return s.options.ColdStarts == nil || s.options.ColdStarts.Take(handle)
}

// admitted says that the replica can take one more send of the item, and counts it.
func (a *itemAttempt) admitted() bool {
	if !a.partition.service.mayStart(a.handle) {
		return false
	}
	a.admittedAt = clock.Now()
	return true
}

// leaveWithin is how long after it was admitted to a cold replica an item may wait for its leave: the connection needs time as well.
const leaveWithin = replica.SendWithin / 2

// stillAdmitted says that the item may be sent after it has waited for its leave. What a cold replica had admitted long before would reach it
// together with what it has admitted since: it must admit the item once more.
func (a *itemAttempt) stillAdmitted() bool {
	now := clock.Now()
	return now.Sub(a.admittedAt) <= leaveWithin || !a.handle.Cold(now) || a.admitted()
}
