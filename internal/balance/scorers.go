package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// remoteZonePenalty is the penalty of another zone; remoteByteWeight is added for each byte of the request body. It exceeds the weight
	// of one request on a replica with 5 slots: a nearby replica that is slightly fuller but has a free slot responds as fast, and needs no
	// connections and traffic between zones.
	remoteZonePenalty = 0.3
	remoteByteWeight  = 0.25 / (16 << 10)
	// maxRemotePenalty bounds the sum of the two.
	maxRemotePenalty = 0.6
	// otherRegionPenalty is added to remoteZonePenalty for another region: operators pay some four times as much for traffic between
	// regions, most of which is the response. With it, a nearby replica with a free slot is preferred, and a nearby one on which the
	// request would wait rates about the same as one in another region with a single free slot.
	otherRegionPenalty = 0.15
	// otherRegionByteWeight is added for each byte of a request body that is sent to another region.
	otherRegionByteWeight = 4 * remoteByteWeight
	// otherRegionRoundTrip is the additional latency of a response from another region, some hundreds of km away. Its ratio to the
	// request's objective is added to the penalty.
	otherRegionRoundTrip = 25 * time.Millisecond
	// maxOtherRegionPenalty bounds the sum for another region, so that an idle replica there is still better than a full one nearby.
	maxOtherRegionPenalty = 1.0
	// partUnitTokens is the number of cached tokens that adds partWeight to the score; maxPartScore bounds the sum.
	partUnitTokens = 4096.0
	partWeight     = 0.5
	maxPartScore   = 0.6
	// failureWeight is the penalty of a replica that fails all calls.
	failureWeight = 1.5
	// slowdownWeight is the penalty of a replica on which work takes twice as long as usual.
	slowdownWeight = 0.3
	// waitPenalty is the penalty if the request would have to wait for a slot. perWaitingPenalty, divided by the number of slots, is added
	// for each request that would wait, including this one.
	waitPenalty       = 0.3
	perWaitingPenalty = 1.0
)

// occupancyScore penalizes occupied slots, and more so a request that would have to wait for a slot.
func occupancyScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	slots := float64(max(1, handle.Info().Slots))
	occupied := handle.Occupancy(now)
	score := -occupied / slots
	if waiting := occupied + 1 - slots; waiting > 0 {
		score -= waitPenalty + perWaitingPenalty*waiting/slots
	}
	return score
}

// zoneScore prefers replicas in this process's zone, then those in its region.
func zoneScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	penalty := distancePenalty(request, request.distanceTo(handle))
	if request.ZoneWeight > 0 {
		penalty *= request.ZoneWeight
	}
	return -penalty
}

// distancePenalty returns the penalty for sending the request over a distance.
func distancePenalty(request *Request, distance region.Distance) float64 {
	switch distance {
	case region.SameZone:
		return 0
	case region.SameRegion:
		return min(maxRemotePenalty, remoteZonePenalty+remoteByteWeight*float64(request.BodyBytes))
	default:
		latency := 0.0
		if request.Objective > 0 {
			latency = float64(otherRegionRoundTrip) / float64(request.Objective)
		}
		bytes := otherRegionByteWeight * float64(request.BodyBytes)
		return min(maxOtherRegionPenalty, remoteZonePenalty+otherRegionPenalty+latency+bytes)
	}
}

// partScore prefers, by rendezvous hashing, the same few replicas for requests that share a prompt part. The score grows with the number
// of tokens that can be taken from the cache.
func partScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	if request.PartKey == "" || request.PartTokens <= 0 {
		return 0
	}
	worth := min(maxPartScore, partWeight*float64(request.PartTokens)/partUnitTokens)
	return worth * rendezvousWeight(request.PartKey, handle.Info().ID)
}

// failureScore penalizes replicas by the failure rate of their latest calls.
func failureScore(_ *Request, handle *replica.Handle, _ time.Time) float64 {
	return -failureWeight * handle.FailureRate()
}

// slowdownScore penalizes replicas on which work currently takes longer than usual.
func slowdownScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	return -slowdownWeight * handle.Slowdown(now)
}

// rendezvousWeight returns the weight of a replica for a key in rendezvous hashing, from 0 to 1.
func rendezvousWeight(key, id string) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()) / math.MaxUint64
}
