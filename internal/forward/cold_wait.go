package forward

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// coldRetryInterval is the wait between two searches for a cold replica that may get one more request.
	coldRetryInterval = 20 * time.Millisecond
	// maxColdWaitShare is the share of a request's objective for which it waits: a caller that is refused within it can still be
	// served on time by another node, which may hold passes for the cold replicas.
	maxColdWaitShare = 0.2
)

// waitForColdReplica waits briefly if replicas that could take the request are cold, and reports whether to search again.
func (e *exchange) waitForColdReplica(ctx context.Context) bool {
	if e.handler.coldStarts == nil || !e.hasColdReplica() {
		return false
	}
	maxWait := time.Duration(maxColdWaitShare * float64(e.route.Objective))
	if clock.Since(e.arrived) >= maxWait {
		return false
	}
	return pause.Sleep(ctx, coldRetryInterval)
}

// hasColdReplica reports whether a usable replica of the route's services is cold.
func (e *exchange) hasColdReplica() bool {
	now := clock.Now()
	view := e.handler.directory.View()
	for _, backend := range e.route.Backends {
		for _, handle := range view.ForService(backend.Service) {
			if handle.Usable() && handle.Cold(now) {
				return true
			}
		}
	}
	return false
}
