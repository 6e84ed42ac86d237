package coldstart

import "github.com/sloelift/sloelift/internal/replica"

// Limiter decides on each request, retry, resumed stream and batch item that is about to be sent to a replica. It is safe for concurrent
// use.
type Limiter interface {
	// Take returns whether this process may send one request to the replica now, and counts it where it may. For a replica that is warm it
	// answers at once. Where it returns false another replica is to be chosen; nothing was counted.
	Take(handle *replica.Handle) bool
}
