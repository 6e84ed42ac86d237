package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// remoteZonePenalty is what another zone costs, in parts of a replica's room; remoteByteWeight adds to it for
	// each byte sent there. It is above one request at a replica of 5 slots: as long as it has room, one nearby that is a little fuller
	// answers as fast, and needs no connections and bytes between zones (policy.md, round 14).
	remoteZonePenalty = 0.3
	remoteByteWeight  = 0.25 / (16 << 10)
	// maxRemotePenalty bounds the two together.
	maxRemotePenalty = 0.6
	// otherRegionPenalty is what another region costs beyond another zone: operators pay some four times as much for its bytes, of which
	// the answer is the greater part. A replica nearby that has a slot free is preferred; one that would have the request wait about equals
	// one there that has its last slot free.
	otherRegionPenalty = 0.15
	// otherRegionByteWeight adds to it for each byte sent there.
	otherRegionByteWeight = 4 * remoteByteWeight
	// otherRegionRoundTrip is the time that an answer comes later from another region: regions lie some hundreds of km apart. The part
	// of the objective that it takes counts as that part of a replica's room.
	otherRegionRoundTrip = 25 * time.Millisecond
	// maxOtherRegionPenalty bounds all of it together: an idle replica of another region stays better than a full one nearby.
	maxOtherRegionPenalty = 1.0
	// partTokensUnit is the number of cached tokens that is worth partWeight.
	partTokensUnit = 4096.0
	partWeight     = 0.5
	maxPartScore   = 0.6
	// failureWeight is the worth of a replica that fails all calls.
	failureWeight = 1.5
	// slowdownWeight is what a replica at which work takes twice as long as usual costs, in parts of its room.
	slowdownWeight = 0.3
	// waitPenalty is what it costs that a request would have to wait for a slot at all, fullPenalty is added for each that would.
	waitPenalty = 0.3
	fullPenalty = 1.0
)

// occupancyScore prefers replicas with room for one more; a request that would wait counts for more than one that would run.
func occupancyScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	slots := float64(max(1, handle.Info().Slots))
	occupied := handle.Occupancy(now)
	score := -occupied / slots
	if waiting := occupied + 1 - slots; waiting > 0 {
		score -= waitPenalty + fullPenalty*waiting/slots
	}
	return score
}

// zoneScore prefers replicas of this process's zone, and those of its region to others.
func zoneScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	penalty := distancePenalty(request, request.distanceTo(handle))
	if request.ZoneWeight > 0 {
		penalty *= request.ZoneWeight
	}
	return -penalty
}

// distancePenalty is what a distance costs a request, in parts of a replica's room.
func distancePenalty(request *Request, distance region.Distance) float64 {
	switch distance {
	case region.SameZone:
		return 0
	case region.SameRegion:
		return min(maxRemotePenalty, remoteZonePenalty+remoteByteWeight*float64(request.BodyBytes))
	default:
		late := 0.0
		if request.Objective > 0 {
			late = float64(otherRegionRoundTrip) / float64(request.Objective)
		}
		bytes := otherRegionByteWeight * float64(request.BodyBytes)
		return min(maxOtherRegionPenalty, remoteZonePenalty+otherRegionPenalty+late+bytes)
	}
}

// partScore prefers, by rendezvous hashing, the same few replicas for requests that share prompt parts, the more so the more
// tokens need not be read again.
func partScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	if request.PartKey == "" || request.PartTokens <= 0 {
		return 0
	}
	worth := min(maxPartScore, partWeight*float64(request.PartTokens)/partTokensUnit)
	return worth * rank(request.PartKey, handle.Info().ID)
}

// failureScore puts replicas back that answer badly.
func failureScore(_ *Request, handle *replica.Handle, _ time.Time) float64 {
	return -failureWeight * handle.FailureRate()
}

// slowdownScore puts replicas back at which work takes longer than usual at the moment.
func slowdownScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	return -slowdownWeight * handle.Slowdown(now)
}

// rank is the rendezvous weight of a replica for a key, from 0 to 1.
func rank(key, id string) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()) / math.MaxUint64
}
