package forward

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// reasonEvacuated and reasonNoReplica are the reasons given in an answer when no replica can take the request.
	reasonEvacuated = "all_zones_evacuated"
	reasonNoReplica = "no_replica"
	// retryAfterEvacuated is the Retry-After when all replicas are in evacuated zones. An operator restores a zone after seconds at
	// the earliest: a caller that came back sooner would be rejected again, and a longer value would delay it needlessly.
	retryAfterEvacuated = time.Second
)

// allEvacuated reports whether all replicas that could serve the request are in evacuated zones. Such a request is rejected at once
// instead of waiting for capacity that will not become free.
func (e *exchange) allEvacuated() bool {
	view := e.handler.directory.View()
	evacuated := false
	for _, backend := range e.route.Backends {
		if view.AllEvacuated(backend.Service) {
			evacuated = true
			continue
		}
		if len(view.ForService(backend.Service)) > 0 {
			return false
		}
	}
	return evacuated
}

// noReplicaReason returns the reason why no replica was found, and counts a request that its home regions cannot serve.
func (e *exchange) noReplicaReason() string {
	if e.allEvacuated() {
		return reasonEvacuated
	}
	if !e.servedInHomes(clock.Now()) {
		e.handler.metrics.countNoReplicaInHomes(e.route.Name)
		return reasonOutsideHomes
	}
	return reasonNoReplica
}

// retryAfter returns the Retry-After for a rejection.
func retryAfter(reason string) time.Duration {
	switch reason {
	case reasonEvacuated:
		return retryAfterEvacuated
	case reasonLeaving:
		return retryAfterLeaving
	case reasonOriginUnknown, reasonNoReplicaOfOrigin:
		return retryAfterNoOrigin
	default:
		return retryAfterNoRoom
	}
}
