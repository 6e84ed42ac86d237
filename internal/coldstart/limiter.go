package coldstart

import "github.com/sloelift/sloelift/internal/replica"

// Limiter is asked before each request, retry, resumed stream and batch item is sent to a replica. It is safe for concurrent use.
type Limiter interface {
	// Take reports whether this process may send one request to the replica now, and counts the request if so. It is always true for
	// a warm replica. If it returns false nothing was counted, and the caller chooses another replica.
	Take(handle *replica.Handle) bool
}
