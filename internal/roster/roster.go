package roster

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// MaxFullList is the number of replicas up to which each node keeps all of them.
	MaxFullList = 256
	// shortAgainAt is the number of replicas up to which a long list becomes short again. It is
	// lower than MaxFullList, so that nodes do not switch back and forth.
	shortAgainAt = 192
)

// entry is a replica on the list. It is immutable, so that equal pointers mean an unchanged
// replica.
type entry struct {
	replica.Info
	// position is the entry's position on the ring of its service and zone.
	position uint64
}

// ringKey identifies the ring of the replicas of one service in one zone, versionKey that of the
// replicas of one service that run one version of their software, in all zones.
type (
	ringKey    struct{ service, zone string }
	versionKey struct{ service, version string }
)

func (e *entry) ring() ringKey           { return ringKey{e.Service, e.Zone} }
func (e *entry) versionRing() versionKey { return versionKey{e.Service, e.Version} }

// Roster is the list of all replicas. It is safe for concurrent use.
//
// Invariant: rings and versions each hold each entry of byID once; slots are the sums, by service,
// of the slots of entries that are not draining.
type Roster struct {
	mutex    sync.Mutex
	byID     map[string]*entry
	rings    rings[ringKey]
	versions rings[versionKey]
	slots    map[string]int
	revision int64
	loaded   bool
	// copied reports whether the list comes from a saved copy.
	copied bool
	long   bool
	// changed is closed at each change and replaced by a new channel.
	changed chan struct{}
}

// New returns an empty Roster that is not loaded.
func New() *Roster {
	roster := &Roster{}
	roster.clear()
	roster.changed = make(chan struct{})
	return roster
}

// clear empties the list. The mutex is held.
func (r *Roster) clear() {
	r.byID, r.rings, r.versions, r.slots = map[string]*entry{}, rings[ringKey]{}, rings[versionKey]{}, map[string]int{}
	r.revision, r.loaded, r.copied = 0, false, false
}

// Forget empties the list on a node that no longer keeps all of it. Whether the list is long is
// kept.
func (r *Roster) Forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clear()
	r.signal()
}

// Replace replaces the whole list as of revision, and returns how many replicas are gone from it.
func (r *Roster) Replace(replicas []replica.Info, revision int64) (gone int) {
	return r.replace(replicas, revision, false)
}

// ReplaceByCopy replaces the list by a saved copy of it, while the key-value service does not
// answer.
func (r *Roster) ReplaceByCopy(replicas []replica.Info, revision int64) {
	r.replace(replicas, revision, true)
}

func (r *Roster) replace(replicas []replica.Info, revision int64, copied bool) (gone int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.byID
	gone = len(before)
	r.clear()
	for _, info := range replicas {
		if known := before[info.ID]; known != nil {
			gone--
			r.appendEntry(mergeEntry(known, info))
			continue
		}
		r.appendEntry(newEntry(info))
	}
	r.rings.sort()
	r.versions.sort()
	r.loaded, r.copied, r.revision = true, copied, revision
	r.updateLong()
	return gone
}

// Update applies changed replicas and removes others, as of revision.
func (r *Roster) Update(changed []replica.Info, removed []string, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, info := range changed {
		known := r.byID[info.ID]
		next := newEntry(info)
		if known != nil {
			next = mergeEntry(known, info)
		}
		if next == known {
			continue
		}
		r.remove(info.ID)
		r.insert(next)
	}
	for _, id := range removed {
		r.remove(id)
	}
	r.revision = max(r.revision, revision)
	if len(changed)+len(removed) > 0 {
		r.updateLong()
	}
}

// updateLong updates whether the list is long, and wakes those that wait for a change. The mutex is
// held.
func (r *Roster) updateLong() {
	r.long = len(r.byID) > MaxFullList || r.long && len(r.byID) > shortAgainAt
	r.signal()
}

func (r *Roster) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func newEntry(info replica.Info) *entry {
	return &entry{Info: info, position: xxhash.Sum64String(info.ID)}
}

// mergeEntry returns the entry after an update of a known one: known itself if info changes nothing
// or is of an earlier start of the replica (Born).
func mergeEntry(known *entry, info replica.Info) *entry {
	if info.Born == 0 {
		info.Born = known.Born
	}
	if info == known.Info || info.Born < known.Born {
		return known
	}
	return newEntry(info)
}

// appendEntry adds an entry at the end of its rings, which must be sorted later. The mutex is held.
func (r *Roster) appendEntry(added *entry) {
	r.byID[added.ID] = added
	r.rings.appendUnsorted(added.ring(), added)
	r.versions.appendUnsorted(added.versionRing(), added)
	r.countSlots(added, 1)
}

// insert adds an entry at its position on its rings. The mutex is held.
func (r *Roster) insert(added *entry) {
	r.byID[added.ID] = added
	r.rings.insert(added.ring(), added)
	r.versions.insert(added.versionRing(), added)
	r.countSlots(added, 1)
}

// remove removes an entry. The mutex is held.
func (r *Roster) remove(id string) {
	known := r.byID[id]
	if known == nil {
		return
	}
	delete(r.byID, id)
	r.rings.remove(known.ring(), known)
	r.versions.remove(known.versionRing(), known)
	r.countSlots(known, -1)
}

// countSlots adds sign times an entry's slots to those of its service. The mutex is held.
func (r *Roster) countSlots(counted *entry, sign int) {
	if !counted.Draining {
		r.slots[counted.Service] += sign * counted.Slots
	}
}

// Find returns a replica on the list.
func (r *Roster) Find(id string) (info replica.Info, found bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[id]
	if known == nil {
		return replica.Info{}, false
	}
	return known.Info, true
}

// Long reports whether the list is known to be too long for each node to keep all of it.
func (r *Roster) Long() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.long
}

// SetLong sets whether the list is long, when this is known from another source than the list
// itself.
func (r *Roster) SetLong(long bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.long = long
	r.signal()
}

// All returns all replicas, in no particular order.
func (r *Roster) All() []replica.Info {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	infos := make([]replica.Info, 0, len(r.byID))
	for _, listed := range r.byID {
		infos = append(infos, listed.Info)
	}
	return infos
}

// Loaded reports whether this node holds the list.
func (r *Roster) Loaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}

// Listed reports whether this node holds the list as read from the key-value service, and not a
// saved copy.
func (r *Roster) Listed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded && !r.copied
}

// Len returns the number of replicas on the list.
func (r *Roster) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byID)
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Part returns a node's part of the list, in no particular order, and the slots of all other
// replicas by service.
func (r *Roster) Part(part Part) (replicas []replica.Info, elsewhere map[string]int) {
	found := r.selectPart(part)
	replicas = make([]replica.Info, 0, len(found.entries))
	for listed := range maps.Values(found.entries) {
		replicas = append(replicas, listed.Info)
	}
	return replicas, found.elsewhere
}
