package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/fleet"
)

// ReservedForBatch says whether PolicyStaticSplit keeps a replica for batch only.
func ReservedForBatch(replica string, percent int) bool {
	return int(xxhash.Sum64String("static-split\x00"+replica)%100) < percent
}

// splitByKind sends batch to the reserved replicas and online to the others.
func splitByKind(percent int) filter {
	return func(request *Request, replica *fleet.Replica) bool {
		return ReservedForBatch(replica.ID, percent) == request.Batch
	}
}
