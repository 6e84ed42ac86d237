package batch

import (
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

// takeColdStart reports whether the replica may get another run, or another lease of a run, and counts it against the replica's
// limit while it is cold.
func (s *Service) takeColdStart(handle *replica.Handle) bool {
	return s.options.ColdStarts == nil || s.options.ColdStarts.Take(handle)
}

// admitAgain reports whether the replica can take another send of the item, and counts it.
func (a *itemAttempt) admitAgain() bool {
	if !a.partition.service.takeColdStart(a.handle) {
		return false
	}
	a.admittedAt = clock.Now()
	return true
}

// admissionValidFor is how long an item that was admitted to a cold replica may wait for its permit: connecting takes time as well.
const admissionValidFor = replica.SendWithin / 2

// ensureAdmitted reports whether the item may be sent after it waited for its permit. An item that a cold replica admitted long
// before would reach it together with items admitted since, so the replica must admit it again.
func (a *itemAttempt) ensureAdmitted() bool {
	now := clock.Now()
	return now.Sub(a.admittedAt) <= admissionValidFor || !a.handle.Cold(now) || a.admitAgain()
}
