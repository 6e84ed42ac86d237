package forward

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// coldWaitStep is the wait between two tries to find a cold replica that may get one more request.
	coldWaitStep = 20 * time.Millisecond
	// coldWaitPart is the part of a request's objective for which it waits: a caller that is refused within it can still be served in time
	// by another node, which may hold passes of the cold replicas.
	coldWaitPart = 0.2
)

// waitForCold waits a moment where the replicas that could take the request are cold, and says that it may be tried again.
func (e *exchange) waitForCold(ctx context.Context) bool {
	if e.handler.coldStarts == nil || !e.coldReplicas() {
		return false
	}
	waited := time.Duration(coldWaitPart * float64(e.route.Objective))
	if clock.Since(e.arrived) >= waited {
		return false
	}
	return pause.Sleep(ctx, coldWaitStep)
}

// coldReplicas says that replicas of the route's services are cold.
func (e *exchange) coldReplicas() bool {
	now := clock.Now()
	view := e.handler.directory.View()
	for _, backend := range e.route.Backends {
		for _, handle := range view.Of(backend.Service) {
			if handle.Usable() && handle.Cold(now) {
				return true
			}
		}
	}
	return false
}
