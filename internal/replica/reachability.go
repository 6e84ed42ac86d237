package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// NoteSilence records that connecting to the replica failed or that it has not responded for a while. A zone counts as unreachable once this
// holds for several of its replicas.
func (h *Handle) NoteSilence() { h.zone.NoteSilence(h.Info().ID, clock.Now()) }

// ZoneCutOff reports whether the replica's zone counts as unreachable from this process.
func (h *Handle) ZoneCutOff() bool { return h.zone.CutOff() }

// probesDue returns a random usable replica of each unreachable zone that is due for a probe.
func (d *Directory) probesDue(now time.Time) (probed []*Handle) {
	for _, zone := range d.zones.ProbesDue(now) {
		var usable []*Handle
		for _, handle := range d.View().byID {
			if handle.Info().Zone == zone && handle.Usable() {
				usable = append(usable, handle)
			}
		}
		if len(usable) > 0 {
			probed = append(probed, usable[rand.N(len(usable))])
		}
	}
	return probed
}

// probeZones checks in the background whether unreachable zones that are due for a probe are reachable again, by connecting to a replica
// there. Nothing is sent on the connection.
func (c *Client) probeZones(ctx context.Context, near *Handle) {
	if near.probesDue == nil {
		return
	}
	for _, handle := range near.probesDue(clock.Now()) {
		go func() {
			// On failure the zone stays unreachable, which connect has already recorded.
			if probed, err := c.connect(context.WithoutCancel(ctx), handle, Call{Fresh: true}); err == nil {
				probed.close()
			}
		}()
	}
}
