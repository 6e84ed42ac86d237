package balance

import (
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// sampleSize is the number of replicas of its own zone, of the rest of its region, and of all other regions, among which a node with
	// callers mostly chooses. Nodes know the same, some tens of ms old, and do not see what the others send meanwhile: if each took the
	// emptiest of all, all would take the same one. A few random choices suffice (Mitzenmacher, "How useful is old information?", 2000).
	sampleSize = 3
	// outsidePenalty is what a replica outside the sample costs, in parts of its room.
	outsidePenalty = 0.6
)

// sample draws, for one request, the replicas among which it mostly chooses: of each distance it holds the part that is in it.
type sample [region.OtherRegion + 1]float64

// newSample returns the sample of a request among handles. Batch items are sent by few nodes, which see most of what is sent: their
// sample holds all.
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

// penalty draws whether a replica is in the sample and returns what it costs if it is not.
func (s sample) penalty(request *Request, handle *replica.Handle, random func() float64) float64 {
	share := s[request.distanceTo(handle)]
	if share >= 1 || random() < share {
		return 0
	}
	return outsidePenalty
}
