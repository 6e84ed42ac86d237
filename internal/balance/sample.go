package balance

import (
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// sampleSize is the expected number of replicas in the sample of an online request, for each of: its own zone, the rest of its region,
	// all other regions. All nodes see the same load, some tens of ms old, but not what the others send meanwhile; if each picked the
	// emptiest of all replicas, all would pick the same one. Picking from a few random replicas avoids that (Mitzenmacher, "How useful is
	// old information?", 2000).
	sampleSize = 3
	// outsideSamplePenalty is the penalty of a replica outside the sample.
	outsideSamplePenalty = 0.6
)

// sample holds, for each distance, the probability that a replica is in the random sample of a request. The request mostly goes to a
// replica in its sample.
type sample [region.OtherRegion + 1]float64

// newSample returns the sample of a request among handles. For batch items (MaxOccupancy is set) it includes all replicas: few nodes send
// them, and these see most of what is sent.
func newSample(request *Request, handles []*replica.Handle) sample {
	if request.MaxOccupancy > 0 {
		return sample{1, 1, 1}
	}
	var counts [region.OtherRegion + 1]int
	for _, handle := range handles {
		counts[request.distanceTo(handle)]++
	}
	var shares sample
	for distance, count := range counts {
		shares[distance] = sampleSize / float64(max(1, count))
	}
	return shares
}

// penalty decides at random whether a replica is in the sample and returns outsideSamplePenalty if it is not.
func (s sample) penalty(request *Request, handle *replica.Handle, random func() float64) float64 {
	share := s[request.distanceTo(handle)]
	if share >= 1 || random() < share {
		return 0
	}
	return outsideSamplePenalty
}
