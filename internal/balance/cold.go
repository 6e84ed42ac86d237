package balance

import (
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// coldPenalty is what it costs that a replica is cold, in parts of a replica's room: about that of another zone, so that replicas of the
	// other zones take what the replicas of a zone that returns cannot take yet.
	coldPenalty = 0.3
	// rampTime is the time after a replica turned warm in which the penalty fades: nodes that know the same would else all choose the empty
	// replica that has just turned warm.
	rampTime = 2 * time.Second
	// pacePenalty is the cost of each request by which a replica gets more than it got lately, somewhat more than a place of a replica with
	// 8 slots; with maxPacePenalty a whole burst rather goes to another zone than to one replica.
	pacePenalty    = 0.15
	maxPacePenalty = maxRemotePenalty
	// shortAbove is the share of a replica's slots in use above which cold replicas are wanted beside it: its requests slow each other down.
	shortAbove = 0.5
)

// coldRoom drops cold replicas to which this process may send nothing now.
func coldRoom(_ *Request, handle *replica.Handle, now time.Time) bool { return handle.ColdRoom(now) }

// wantCold has cold replicas counted as wanted where the warm ones are short: best, the choice, is none or rather full, or half of the
// replicas of the own zone are cold. They are not wanted at other times, since a pass, without which none gets a request, costs calls to the
// key-value service.
func wantCold(request *Request, all []*replica.Handle, best *replica.Handle, now time.Time) {
	var cold []*replica.Handle
	warm := 0
	for _, handle := range all {
		if !handle.Usable() || (best != nil && handle.Info().Zone != request.Zone) {
			continue
		}
		if handle.Cold(now) {
			cold = append(cold, handle)
		} else if !handle.Down(now) {
			warm++
		}
	}
	if best != nil && len(cold) < warm && occupancy(best, now) <= shortAbove {
		return
	}
	for _, handle := range cold {
		handle.WantCold(now)
	}
}

// coldScore prefers replicas that have been warm for a while.
func coldScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	warmFor, ever := handle.WarmFor(now)
	if !ever || warmFor >= rampTime {
		return 0
	}
	return -coldPenalty * (1 - warmFor.Seconds()/rampTime.Seconds())
}

// paceScore prefers replicas that get no more from this process than they got lately: one may have turned cold without an entry or an answer
// that says so. Only services that declare how many requests their cold replicas can take are paced.
func paceScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	if !handle.ColdBounded() {
		return 0
	}
	return -min(maxPacePenalty, pacePenalty*handle.Ahead(now))
}
