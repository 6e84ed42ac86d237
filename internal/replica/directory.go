package replica

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/unreached"
)

// Info is what a replica's own entry says of it.
type Info struct {
	// ID names the replica. It may start again under it.
	ID string
	// Born is when this life of the replica started, in Unix milliseconds; 0 where its entry does not say. Lives of one ID differ in it.
	Born    int64
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining replicas take no new requests.
	Draining bool
	// ColdFor is how much longer the replica stays cold, counted from when it wrote its entry; 0 is warm.
	ColdFor time.Duration
}

// View is an immutable snapshot of the directory.
type View struct {
	byService map[string][]*Handle
	byID      map[string]*Handle
	// elsewhere are the slots of replicas that are not in the directory, by service, where this node keeps a part of all only.
	elsewhere map[string]int
}

// Of returns the replicas of service, sorted by ID.
func (v *View) Of(service string) []*Handle { return v.byService[service] }

// Slots returns the number of requests that the replicas of service which take new ones work on at once, those among them that this node does
// not know.
func (v *View) Slots(service string) int {
	slots, now := 0, clock.Now()
	for _, handle := range v.byService[service] {
		if handle.Usable() {
			slots += handle.usableSlots(now)
		}
	}
	return slots + v.elsewhere[service]
}

// WorkingSlots returns the same without the replicas that are down. Of those that this node does not know the same share is taken to work as
// of those that it knows.
func (v *View) WorkingSlots(service string, now time.Time) int {
	working, declared := 0, 0
	for _, handle := range v.byService[service] {
		if !handle.Info().Draining {
			declared += handle.Info().Slots
		}
		if handle.Usable() && !handle.Down(now) {
			working += handle.usableSlots(now)
		}
	}
	if declared == 0 {
		return working + v.elsewhere[service]
	}
	return working + v.elsewhere[service]*working/declared
}

// KnowsPart says that there are replicas that take requests and are not in the directory.
func (v *View) KnowsPart() bool {
	for _, slots := range v.elsewhere {
		if slots > 0 {
			return true
		}
	}
	return false
}

// Find returns the replica with the given ID; nil where there is none.
func (v *View) Find(id string) *Handle { return v.byID[id] }

// All returns all replicas, in no order.
func (v *View) All() iter.Seq[*Handle] { return maps.Values(v.byID) }

// Len returns the number of replicas.
func (v *View) Len() int { return len(v.byID) }

// Directory holds the replicas that are registered. It is safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]
	// mutex is held by writers.
	mutex       sync.Mutex
	loaded      atomic.Bool
	subscribers subscription.List[*View]
	// useChanged holds one signal that requests began or ended, or prompts were read.
	useChanged chan struct{}
	// zones knows those that are cut off from this process.
	zones *unreached.Zones
	// evacuated are the zones whose replicas get nothing more, evacuationEnded says when other zones were taken back; both are guarded by
	// mutex.
	evacuated       map[string]bool
	evacuationEnded map[string]time.Time
	// coldTerms is guarded by mutex; nil where cold replicas may get as much as warm ones.
	coldTerms ColdTerms
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	directory := &Directory{useChanged: make(chan struct{}, 1), zones: unreached.NewZones(), evacuationEnded: map[string]time.Time{}}
	directory.view.Store(&View{byService: map[string][]*Handle{}, byID: map[string]*Handle{}})
	return directory
}

// View returns the present snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Loaded says that the directory has been read once.
func (d *Directory) Loaded() bool { return d.loaded.Load() }

// UseChanged signals that requests of this process at replicas have begun or ended, or their prompts were read, since the last signal
// was taken.
func (d *Directory) UseChanged() <-chan struct{} { return d.useChanged }

// SetElsewhere says how many slots replicas have that are not in the directory, by service.
func (d *Directory) SetElsewhere(slots map[string]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := *d.View()
	next.elsewhere = maps.Clone(slots)
	d.view.Store(&next)
}

// SignalUse has UseChanged signal.
func (d *Directory) SignalUse() {
	subscription.Signal(d.useChanged)
}

// Subscribe calls notify after each change until remove is called.
func (d *Directory) Subscribe(notify func(*View)) (remove func()) { return d.subscribers.Add(notify) }

// Replace makes replicas the whole content of the directory and returns how many are gone.
func (d *Directory) Replace(replicas []Info) (gone int) { return d.replace(replicas, true) }

// ReplaceByCopy is Replace by what was known some time ago, while the key-value service does not answer.
func (d *Directory) ReplaceByCopy(replicas []Info) { d.replace(replicas, false) }

func (d *Directory) replace(replicas []Info, confirmed bool) (gone int) {
	d.mutex.Lock()
	next := make(map[string]*Handle, len(replicas))
	for _, info := range replicas {
		next[info.ID] = d.handleFor(info, false)
		next[info.ID].setConfirmed(confirmed)
	}
	for id := range d.View().byID {
		if next[id] == nil {
			gone++
		}
	}
	d.publish(next)
	d.loaded.Store(true)
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
	return gone
}

// Update takes in changed replicas and drops the removed ones.
func (d *Directory) Update(changed []Info, removed []string) {
	d.mutex.Lock()
	next := make(map[string]*Handle, d.View().Len()+len(changed))
	for id, handle := range d.View().byID {
		next[id] = handle
	}
	for _, info := range changed {
		next[info.ID] = d.handleFor(info, true)
	}
	for _, id := range removed {
		delete(next, id)
	}
	d.publish(next)
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
}

// handleFor returns the handle of info's life with its newest entry; written says that the entry has just been written. What was known of
// an earlier life goes with its handle: load, requests in flight, failures, coldness, kept connections and what other nodes reported of it.
func (d *Directory) handleFor(info Info, written bool) *Handle {
	handle := d.View().Find(info.ID)
	if handle != nil && info.Born == 0 {
		info.Born = handle.Info().Born
	}
	if handle != nil && info.Born < handle.Info().Born {
		// A late entry of an earlier life.
		return handle
	}
	if handle == nil || info.Born > handle.Info().Born {
		handle = NewHandle(info)
		handle.useChanged = d.SignalUse
		handle.zone = d.zones.Of(info.Zone)
		handle.probesDue = d.probesDue
		d.noteEntry(handle, nil, written)
	} else {
		before := handle.info.Swap(&info)
		d.noteEntry(handle, before, written)
	}
	d.markZone(handle)
	return handle
}

// publish makes next the content and ends the handles that are gone from it.
func (d *Directory) publish(next map[string]*Handle) {
	view := &View{byService: map[string][]*Handle{}, byID: next, elsewhere: d.View().elsewhere}
	for _, handle := range next {
		service := handle.Info().Service
		view.byService[service] = append(view.byService[service], handle)
	}
	for _, handles := range view.byService {
		slices.SortFunc(handles, func(a, b *Handle) int { return cmp.Compare(a.Info().ID, b.Info().ID) })
	}
	previous := d.view.Swap(view)
	for id, handle := range previous.byID {
		if next[id] != handle {
			handle.replaced.Store(next[id] != nil)
			handle.retire()
		}
	}
}
