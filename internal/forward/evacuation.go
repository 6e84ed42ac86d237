package forward

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// reasonEvacuated and reasonNoReplica are the reasons of an answer where no replica may have the request.
	reasonEvacuated = "all_zones_evacuated"
	reasonNoReplica = "no_replica"
	// retryAfterEvacuated is the Retry-After where all replicas are in evacuated zones. An operator takes a zone back after seconds at the least: a
	// caller who came back sooner would be rejected again, and one who comes later is late for no reason.
	retryAfterEvacuated = time.Second
)

// allEvacuated says that all replicas that could serve the request are in evacuated zones: it can be rejected at once, without waiting for
// room that nobody gives.
func (e *exchange) allEvacuated() bool {
	view := e.handler.directory.View()
	evacuated := false
	for _, backend := range e.route.Backends {
		if view.AllEvacuated(backend.Service) {
			evacuated = true
			continue
		}
		if len(view.Of(backend.Service)) > 0 {
			return false
		}
	}
	return evacuated
}

// whyNone is the reason for which no replica was found.
func (e *exchange) whyNone() string {
	if e.allEvacuated() {
		return reasonEvacuated
	}
	if !e.servedAtHome(clock.Now()) {
		e.handler.metrics.outsideHomes(e.route.Name)
		return reasonOutsideHomes
	}
	return reasonNoReplica
}

// retryAfter is the time after which a rejected caller may come back.
func retryAfter(reason string) time.Duration {
	if reason == reasonEvacuated {
		return retryAfterEvacuated
	}
	return retryAfterNoRoom
}
