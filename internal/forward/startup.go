package forward

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// maxStartupWait bounds how long a request waits at a process that has just started for the configuration and the replicas. They take
// about 30 ms from the key-value service, and 100 to 250 ms from other nodes if the service is unavailable and all nodes are starting.
// A refused caller would not come back sooner, and streams should begin within 300 ms.
const maxStartupWait = 250 * time.Millisecond

// waitForTable returns the routing table once it and the replicas are known; nil if there is no table after maxStartupWait.
func (h *Handler) waitForTable(ctx context.Context) *route.Table {
	if h.Ready() {
		return h.routes.Table()
	}
	changed := make(chan struct{}, 1)
	notify := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	defer h.routes.Subscribe(func(*route.Table) { notify() })()
	defer h.directory.Subscribe(func(*replica.View) { notify() })()
	timer := time.NewTimer(maxStartupWait)
	defer timer.Stop()
	for !h.Ready() {
		select {
		case <-changed:
		case <-timer.C:
			return h.routes.Table()
		case <-ctx.Done():
			return h.routes.Table()
		}
	}
	return h.routes.Table()
}

// Ready reports whether the configuration and the replicas have been loaded.
func (h *Handler) Ready() bool { return h.routes.Table() != nil && h.directory.Loaded() }
