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

// Info is the content of a replica's directory entry.
type Info struct {
	// ID names the replica. It keeps its ID when it restarts.
	ID string
	// Born is when this incarnation of the replica started, in Unix milliseconds; 0 if its entry does not tell. It distinguishes the
	// incarnations of one ID.
	Born    int64
	Service string
	// Version is the version of the replica's software; empty if its entry does not tell.
	Version string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the replica processes concurrently.
	Slots int
	// Draining is true if the replica takes no new requests.
	Draining bool
	// ColdFor is the rest of the replica's cold period at the time its entry was written; 0 if it is warm.
	ColdFor time.Duration
	// claims is what this and earlier entries told of the version; a Directory sets it.
	claims versionClaims
}

// View is an immutable snapshot of the directory.
type View struct {
	byService map[string][]*Handle
	byID      map[string]*Handle
	// unlistedSlots counts, by service, the slots of replicas outside the directory if this node keeps only a part of all replicas.
	unlistedSlots map[string]int
}

// ForService returns the replicas of service, sorted by ID.
func (v *View) ForService(service string) []*Handle { return v.byService[service] }

// Slots returns the total slots of the replicas of service that take new requests, including those outside this node's part.
func (v *View) Slots(service string) int {
	slots, now := 0, clock.Now()
	for _, handle := range v.byService[service] {
		if handle.Usable() {
			slots += handle.usableSlots(now)
		}
	}
	return slots + v.unlistedSlots[service]
}

// WorkingSlots is like Slots but leaves out replicas that are down. Slots outside this node's part are assumed to be up in the same
// proportion as those inside it.
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
		return working + v.unlistedSlots[service]
	}
	return working + v.unlistedSlots[service]*working/declared
}

// IsPartial reports whether the directory is only a part: some replicas outside it take requests.
func (v *View) IsPartial() bool {
	for _, slots := range v.unlistedSlots {
		if slots > 0 {
			return true
		}
	}
	return false
}

// Find returns the replica with the given ID; nil if there is none.
func (v *View) Find(id string) *Handle { return v.byID[id] }

// All returns all replicas, in no particular order.
func (v *View) All() iter.Seq[*Handle] { return maps.Values(v.byID) }

// Len returns the number of replicas.
func (v *View) Len() int { return len(v.byID) }

// Directory holds the registered replicas. It is safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]
	// mutex serializes writers.
	mutex       sync.Mutex
	loaded      atomic.Bool
	subscribers subscription.List[*View]
	// useChanged has capacity 1 and signals that requests began or ended, or that prompts were processed.
	useChanged chan struct{}
	// zones tracks which zones are unreachable from this process.
	zones *unreached.Zones
	// evacuated holds the zones whose replicas receive no requests, evacuationEnded the times at which evacuations of other zones
	// ended; both are guarded by mutex.
	evacuated       map[string]bool
	evacuationEnded map[string]time.Time
	// coldTerms is guarded by mutex; nil if cold replicas are treated like warm ones.
	coldTerms ColdTerms
	// versions is guarded by mutex.
	versions versionHistory
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	directory := &Directory{
		useChanged:      make(chan struct{}, 1),
		zones:           unreached.NewZones(),
		evacuationEnded: map[string]time.Time{},
		versions:        versionHistory{until: map[versionKey]time.Time{}},
	}
	directory.view.Store(&View{byService: map[string][]*Handle{}, byID: map[string]*Handle{}})
	return directory
}

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Loaded reports whether Replace or ReplaceByCopy has been called at least once.
func (d *Directory) Loaded() bool { return d.loaded.Load() }

// UseChanged signals that, since the last signal was received, requests of this process at replicas began or ended or their prompts were
// processed.
func (d *Directory) UseChanged() <-chan struct{} { return d.useChanged }

// SetUnlistedSlots sets the number of slots, by service, of replicas that are not in the directory.
func (d *Directory) SetUnlistedSlots(slots map[string]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := *d.View()
	next.unlistedSlots = maps.Clone(slots)
	d.view.Store(&next)
}

// SignalUse sends a signal on UseChanged.
func (d *Directory) SignalUse() {
	subscription.Signal(d.useChanged)
}

// Subscribe calls notify with the new view after each change until remove is called.
func (d *Directory) Subscribe(notify func(*View)) (remove func()) { return d.subscribers.Add(notify) }

// Replace replaces the whole content of the directory and returns how many replicas were removed.
func (d *Directory) Replace(replicas []Info) (gone int) { return d.replace(replicas, true) }

// ReplaceByCopy is Replace with an older copy of the content, while the key-value service is unavailable. The replicas count as
// unconfirmed until Replace names them.
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
	if confirmed && d.versions.listedSince.IsZero() {
		d.versions.listedSince = clock.Now()
	}
	d.publish(next)
	d.loaded.Store(true)
	d.mutex.Unlock()
	d.subscribers.Notify(d.View())
	return gone
}

// Update adds or changes the replicas in changed and removes those whose IDs are in removed.
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

// handleFor returns the handle of info's incarnation, updated to the newest entry; written is true if the entry has just been written. A
// later incarnation gets a new handle, so that nothing carries over from the earlier one: load, requests in flight, failures, cold
// period, idle connections and reports of other nodes.
func (d *Directory) handleFor(info Info, written bool) *Handle {
	handle := d.View().Find(info.ID)
	if handle != nil && info.Born == 0 {
		info.Born = handle.Info().Born
	}
	if handle != nil && info.Born < handle.Info().Born {
		// A delayed entry of an earlier incarnation.
		return handle
	}
	var known *Info
	if handle != nil {
		known = handle.Info()
	}
	info = info.withBelievedVersion(known)
	if known == nil || info.isOtherIncarnation(known) {
		handle = NewHandle(info)
		handle.useChanged = d.SignalUse
		handle.zone = d.zones.Get(info.Zone)
		handle.probesDue = d.probesDue
		d.noteEntry(handle, nil, written)
	} else {
		before := handle.info.Swap(&info)
		d.noteEntry(handle, before, written)
	}
	d.applyZoneState(handle)
	return handle
}

// publish stores a view of next and retires the handles that are no longer in it.
func (d *Directory) publish(next map[string]*Handle) {
	d.versions.note(next, clock.Now())
	view := &View{byService: map[string][]*Handle{}, byID: next, unlistedSlots: d.View().unlistedSlots}
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
