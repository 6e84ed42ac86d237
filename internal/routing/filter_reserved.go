package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/fleet"
)

// ReservedForBatch reports whether PolicyStaticSplit reserves a replica for batch. It does so for
// about the given percentage of replicas, chosen by a hash of the id.
func ReservedForBatch(replica string, percent int) bool {
	return int(xxhash.Sum64String("static-split\x00"+replica)%100) < percent
}

// matchingSplit drops unreserved replicas for batch requests and reserved ones for online requests.
func matchingSplit(percent int) filter {
	return func(request *Request, replica *fleet.Replica) bool {
		return ReservedForBatch(replica.ID, percent) == request.Batch
	}
}
