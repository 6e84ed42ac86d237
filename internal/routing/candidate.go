package routing

import (
	"time"

	"github.com/sloelift/sloelift/internal/fleet"
)

// candidate is a replica that passed the filters for a request.
type candidate struct {
	replica *fleet.Replica
	// unreported is the net number of this node's online requests that the replica's load report
	// does not include yet.
	unreported int
	// expectedBlocks is the number of leading prefix blocks that are expected in the cache;
	// confidence (0 to 1) discounts it.
	expectedBlocks int
	confidence     float64
	// cost is the sum of the scorers' results.
	cost time.Duration
}

// filter reports whether a replica can serve a request.
type filter func(request *Request, replica *fleet.Replica) bool

// scorer returns one part of the expected delay of the first token on a candidate; lower is
// better.
type scorer func(request *Request, candidate *candidate) time.Duration
