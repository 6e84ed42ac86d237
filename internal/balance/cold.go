package balance

import (
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// coldPenalty is the penalty of a cold replica. It is about that of another zone, so that other zones take the requests that a returning
	// zone cannot take yet.
	coldPenalty = 0.3
	// warmRampTime is the time over which coldPenalty decreases to 0 after a replica turned warm. Without it, all nodes that see the same
	// load would pick the empty replica at once.
	warmRampTime = 2 * time.Second
	// pacePenalty is the penalty for each request by which this process exceeds its recent rate to a replica. It is somewhat more than one
	// slot of a replica with 8 slots. maxPacePenalty bounds it; a whole burst goes to another zone rather than to one replica.
	pacePenalty    = 0.15
	maxPacePenalty = maxRemotePenalty
	// warmShortageOccupancy is the occupancy of the picked replica above which cold replicas are wanted as well, since requests on a fuller
	// replica slow each other down.
	warmShortageOccupancy = 0.5
)

// hasColdCapacity drops cold replicas to which this process may not send a request now.
func hasColdCapacity(_ *Request, handle *replica.Handle, now time.Time) bool {
	return handle.ColdRoom(now)
}

// markColdWanted marks cold replicas as wanted when warm capacity is short: no replica was picked (best is nil), best is above
// warmShortageOccupancy, or at least as many replicas of the own zone are cold as warm. If a replica was picked, only cold replicas of the
// own zone count. In all other cases none is marked, since a cold replica gets requests only with a pass, and passes cost calls to the
// key-value service.
func markColdWanted(request *Request, replicas []*replica.Handle, best *replica.Handle, now time.Time) {
	var cold []*replica.Handle
	warm := 0
	for _, handle := range replicas {
		if !handle.Usable() || (best != nil && handle.Info().Zone != request.Zone) {
			continue
		}
		if handle.Cold(now) {
			cold = append(cold, handle)
		} else if !handle.Down(now) {
			warm++
		}
	}
	if best != nil && len(cold) < warm && occupancy(best, now) <= warmShortageOccupancy {
		return
	}
	for _, handle := range cold {
		handle.WantCold(now)
	}
}

// coldScore penalizes cold replicas, and those that turned warm less than warmRampTime ago.
func coldScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	warmFor, wasCold := handle.WarmFor(now)
	if !wasCold || warmFor >= warmRampTime {
		return 0
	}
	return -coldPenalty * (1 - warmFor.Seconds()/warmRampTime.Seconds())
}

// paceScore penalizes replicas to which this process sends more than it did recently, because a replica may have turned cold without an
// entry or a response that reports it. It applies only to services that declare how many requests their cold replicas can take.
func paceScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	if !handle.ColdBounded() {
		return 0
	}
	return -min(maxPacePenalty, pacePenalty*handle.PaceExcess(now))
}
