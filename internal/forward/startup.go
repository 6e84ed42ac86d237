package forward

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// startWait bounds the time that a request waits at a process that has just started for the configuration and the replicas. It has
// them within some 30 ms from the key-value service, and within 100 to 250 ms from other nodes while the service is away, when all of them
// start. A caller who is refused comes back no sooner, and streams are to begin within 300 ms.
const startWait = 250 * time.Millisecond

// tableWhenKnown returns the routing table once it and the replicas are known; nil where the table is not after startWait.
func (h *Handler) tableWhenKnown(ctx context.Context) *route.Table {
	if h.Known() {
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
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	for !h.Known() {
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

// Known says that the configuration and the replicas have been read once.
func (h *Handler) Known() bool { return h.routes.Table() != nil && h.directory.Loaded() }
