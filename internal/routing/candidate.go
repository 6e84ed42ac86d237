package routing

import (
	"time"

	"github.com/sloelift/sloelift/internal/fleet"
)

// candidate is one replica under consideration for one request.
type candidate struct {
	replica *fleet.Replica
	// own is the net number of own requests that the replica's report doesn't count yet.
	own int
	// expectedBlocks is the number of leading prefix blocks thought to be cached, and
	// confidence (0 to 1) how sure that is.
	expectedBlocks int
	confidence     float64
	cost           time.Duration
}

// filter says whether a replica can serve a request at all.
type filter func(request *Request, replica *fleet.Replica) bool

// scorer returns the delay that a candidate is expected to add; lower is better.
type scorer func(request *Request, candidate *candidate) time.Duration
