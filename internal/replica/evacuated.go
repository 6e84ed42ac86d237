package replica

import (
	"errors"
	"maps"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// ErrEvacuated means that the request was not sent because the replica's zone is evacuated. It is always wrapped together with ErrNotSent
// and does not mean that the replica itself has failed.
var ErrEvacuated = errors.New("zone of the replica is evacuated")

// Evacuated reports whether the replica's zone is out of service.
func (h *Handle) Evacuated() bool { return h.evacuated.Load() }

// EvacuationEnded returns when this process learned that the last evacuation of the replica's zone ended; zero if there was none. The
// replicas may have become cold shortly before.
func (h *Handle) EvacuationEnded() time.Time {
	if ended := h.evacuationEnded.Load(); ended != nil {
		return *ended
	}
	return time.Time{}
}

// EvacuatedInUse returns the number of requests of service that still run at replicas of evacuated zones. They are part of the requests
// in flight on all nodes, but occupy no slots of the remaining replicas.
func (v *View) EvacuatedInUse(service string, now time.Time) int {
	running := 0.0
	for _, handle := range v.byService[service] {
		if handle.Evacuated() && !handle.Down(now) {
			running += min(handle.Occupancy(now), float64(handle.Info().Slots))
		}
	}
	return int(running)
}

// AllEvacuated reports whether service has replicas in evacuated zones and no usable replica outside them.
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

// SetEvacuated makes exactly the given zones evacuated: their replicas receive no new requests. The replicas stay in the directory and
// requests in flight there continue.
func (d *Directory) SetEvacuated(zones map[string]bool) {
	d.mutex.Lock()
	now := clock.Now()
	for zone := range d.evacuated {
		if !zones[zone] {
			d.evacuationEnded[zone] = now
		}
	}
	d.evacuated = maps.Clone(zones)
	d.applyZoneStates()
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
}

// NoteEvacuationEnded records the end of an evacuation that SetEvacuated never named, because it was over before this process learned of
// it.
func (d *Directory) NoteEvacuationEnded(zone string) {
	d.mutex.Lock()
	d.evacuationEnded[zone] = clock.Now()
	d.applyZoneStates()
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
}

// applyZoneStates copies the evacuation state of the zones to all handles. The mutex must be held.
func (d *Directory) applyZoneStates() {
	for _, handle := range d.View().byID {
		d.applyZoneState(handle)
	}
}

// applyZoneState copies the evacuation state of its zone to a handle. The mutex must be held.
func (d *Directory) applyZoneState(handle *Handle) {
	zone := handle.Info().Zone
	if ended, known := d.evacuationEnded[zone]; known && !ended.Equal(handle.EvacuationEnded()) {
		d.assumeCold(handle, ended)
		handle.evacuationEnded.Store(&ended)
	}
	handle.evacuated.Store(d.evacuated[zone])
}
