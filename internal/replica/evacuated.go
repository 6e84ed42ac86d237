package replica

import (
	"errors"
	"maps"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// ErrEvacuated says that nothing is sent to the replica since its zone is evacuated; it comes with ErrNotSent and says nothing of the
// replica itself.
var ErrEvacuated = errors.New("zone of the replica is evacuated")

// Evacuated says that the replica's zone is taken out of service.
func (h *Handle) Evacuated() bool { return h.evacuated.Load() }

// EvacuationEnded returns when the replica's zone was last taken back as this process knows it; zero where it never was. The replicas may
// have turned cold shortly before.
func (h *Handle) EvacuationEnded() time.Time {
	if ended := h.evacuationEnded.Load(); ended != nil {
		return *ended
	}
	return time.Time{}
}

// EvacuatedInUse returns the requests that still run at replicas of evacuated zones. They count in what all nodes have of service, but
// take no room of the replicas that are left.
func (v *View) EvacuatedInUse(service string, now time.Time) int {
	running := 0.0
	for _, handle := range v.byService[service] {
		if handle.Evacuated() && !handle.Down(now) {
			running += min(handle.Occupancy(now), float64(handle.Info().Slots))
		}
	}
	return int(running)
}

// AllEvacuated says that service has replicas, and each that would take requests is in an evacuated zone.
func (v *View) AllEvacuated(service string) bool {
	evacuated := false
	for _, handle := range v.byService[service] {
		if handle.Usable() {
			return false
		}
		evacuated = evacuated || handle.Evacuated()
	}
	return evacuated
}

// SetEvacuated has the replicas of the given zones, and of no others, get nothing more. They stay in the directory: what runs there goes on.
func (d *Directory) SetEvacuated(zones map[string]bool) {
	d.mutex.Lock()
	now := clock.Now()
	for zone := range d.evacuated {
		if !zones[zone] {
			d.evacuationEnded[zone] = now
		}
	}
	d.evacuated = maps.Clone(zones)
	d.markZones()
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
}

// NoteEvacuationEnded says that a zone is taken back now of whose evacuation SetEvacuated was never given, since it was over before it
// was known here.
func (d *Directory) NoteEvacuationEnded(zone string) {
	d.mutex.Lock()
	d.evacuationEnded[zone] = clock.Now()
	d.markZones()
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
}

// markZones brings to all handles what is known of their zones. The mutex is held.
func (d *Directory) markZones() {
	for _, handle := range d.View().byID {
		d.markZone(handle)
	}
}

// markZone brings to a handle what is known of its zone. The mutex is held.
func (d *Directory) markZone(handle *Handle) {
	zone := handle.Info().Zone
	if ended, known := d.evacuationEnded[zone]; known && !ended.Equal(handle.EvacuationEnded()) {
		d.assumeCold(handle, ended)
		handle.evacuationEnded.Store(&ended)
	}
	handle.evacuated.Store(d.evacuated[zone])
}
