package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// Silent notes that no connection to the replica came up, or that no answer came for a while. After several such replicas of a zone the zone
// counts as cut off.
func (h *Handle) Silent() { h.zone.NoteSilence(h.Info().ID, clock.Now()) }

// ZoneCutOff says that no replica of its zone is reached, as far as this process knows.
func (h *Handle) ZoneCutOff() bool { return h.zone.CutOff() }

// probesDue returns replicas of zones that are cut off, one of each, that are to be probed now.
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

// probeZones looks, in the background and now and then, whether zones that are cut off are reached again: whether a replica there takes a
// connection. Nothing is sent on it.
func (c *Client) probeZones(ctx context.Context, near *Handle) {
	if near.probesDue == nil {
		return
	}
	for _, handle := range near.probesDue(clock.Now()) {
		go func() {
			// Without a connection the zone stays cut off, and connect has noted that.
			if probed, err := c.connect(context.WithoutCancel(ctx), handle, Call{Fresh: true}); err == nil {
				probed.close()
			}
		}()
	}
}
