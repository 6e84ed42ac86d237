package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// MostKeptByEach is the number of replicas up to which each node keeps all of them.
	MostKeptByEach = 256
	// fewAgain is the number below which a list that was long counts as short, so that nodes do not go back and forth.
	fewAgain = 192
)

// entry is a replica on the list; it is never changed, so that an equal pointer says that nothing has changed.
type entry struct {
	replica.Info
	// position is its place on the ring of its service and zone.
	position uint64
}

// ringKey names the ring of the replicas of one service in one zone.
type ringKey struct{ service, zone string }

// Roster is the list of all replicas. It is safe for concurrent use.
//
// Invariant: rings hold each entry of byID once, ordered by position and ID; slots are the sums of those that are not draining.
type Roster struct {
	mutex    sync.Mutex
	byID     map[string]*entry
	rings    map[ringKey][]*entry
	slots    map[string]int
	revision int64
	loaded   bool
	// copied says that the list is a copy of some time ago.
	copied bool
	long   bool
	// changed is closed at each change, and another one takes its place.
	changed chan struct{}
}

// New returns an empty Roster that has not been loaded.
func New() *Roster {
	roster := &Roster{}
	roster.clear()
	roster.changed = make(chan struct{})
	return roster
}

// clear empties the list. The mutex is held.
func (r *Roster) clear() {
	r.byID, r.rings, r.slots = map[string]*entry{}, map[ringKey][]*entry{}, map[string]int{}
	r.revision, r.loaded, r.copied = 0, false, false
}

// Forget empties the list, of a node that no longer keeps all; whether it is long stays known.
func (r *Roster) Forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clear()
	r.signal()
}

// Replace makes replicas the whole list, as of revision, and returns how many are gone from it.
func (r *Roster) Replace(replicas []replica.Info, revision int64) (gone int) {
	return r.replace(replicas, revision, false)
}

// ReplaceByCopy is Replace by what was known some time ago, while the key-value service does not answer.
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
			r.put(newerOf(known, info))
			continue
		}
		r.put(newEntry(info))
	}
	for key := range r.rings {
		slices.SortFunc(r.rings[key], compareEntries)
	}
	r.loaded, r.copied, r.revision = true, copied, revision
	r.settle()
	return gone
}

// Update takes in changed replicas and drops the removed ones, as of revision.
func (r *Roster) Update(changed []replica.Info, removed []string, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, info := range changed {
		known := r.byID[info.ID]
		next := newEntry(info)
		if known != nil {
			next = newerOf(known, info)
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
		r.settle()
	}
}

// settle notes whether the list is long now, and wakes those that wait for a change. The mutex is held.
func (r *Roster) settle() {
	r.long = len(r.byID) > MostKeptByEach || r.long && len(r.byID) > fewAgain
	r.signal()
}

func (r *Roster) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func newEntry(info replica.Info) *entry {
	return &entry{Info: info, position: xxhash.Sum64String(info.ID)}
}

// newerOf returns the entry that info makes of a known one: that itself where info says nothing new or is of an earlier life.
func newerOf(known *entry, info replica.Info) *entry {
	if info.Born == 0 {
		info.Born = known.Born
	}
	if info == known.Info || info.Born < known.Born {
		return known
	}
	return newEntry(info)
}

func compareEntries(one, other *entry) int {
	return cmp.Or(cmp.Compare(one.position, other.position), cmp.Compare(one.ID, other.ID))
}

// put adds an entry whose ring is sorted later. The mutex is held.
func (r *Roster) put(added *entry) {
	key := ringKey{added.Service, added.Zone}
	r.byID[added.ID] = added
	r.rings[key] = append(r.rings[key], added)
	r.countSlots(added, 1)
}

// insert adds an entry at its place. The mutex is held.
func (r *Roster) insert(added *entry) {
	key := ringKey{added.Service, added.Zone}
	place, _ := slices.BinarySearchFunc(r.rings[key], added, compareEntries)
	r.rings[key] = slices.Insert(r.rings[key], place, added)
	r.byID[added.ID] = added
	r.countSlots(added, 1)
}

// remove drops an entry. The mutex is held.
func (r *Roster) remove(id string) {
	known := r.byID[id]
	if known == nil {
		return
	}
	delete(r.byID, id)
	key := ringKey{known.Service, known.Zone}
	place, found := slices.BinarySearchFunc(r.rings[key], known, compareEntries)
	if !found {
		panic("roster: an entry is not on its ring")
	}
	r.rings[key] = slices.Delete(r.rings[key], place, place+1)
	if len(r.rings[key]) == 0 {
		delete(r.rings, key)
	}
	r.countSlots(known, -1)
}

// countSlots adds an entry's slots to those of its service, sign times. The mutex is held.
func (r *Roster) countSlots(of *entry, sign int) {
	if !of.Draining {
		r.slots[of.Service] += sign * of.Slots
	}
}

// Find returns what the list says of a replica.
func (r *Roster) Find(id string) (info replica.Info, found bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[id]
	if known == nil {
		return replica.Info{}, false
	}
	return known.Info, true
}

// Long says that the list is too long for each node to keep all of it, as far as is known.
func (r *Roster) Long() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.long
}

// SetLong notes what was learnt in another way than by a list.
func (r *Roster) SetLong(long bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.long = long
	r.signal()
}

// All returns all replicas, in no order.
func (r *Roster) All() []replica.Info {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	infos := make([]replica.Info, 0, len(r.byID))
	for _, each := range r.byID {
		infos = append(infos, each.Info)
	}
	return infos
}

// Loaded says that the list is kept here.
func (r *Roster) Loaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}

// Listed says that the list is kept here as the key-value service has it, not by a copy.
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

// Part returns a node's part of the list, in no order, and the slots of the other replicas, by service.
func (r *Roster) Part(of Part) (replicas []replica.Info, elsewhere map[string]int) {
	found := r.selects(of)
	replicas = make([]replica.Info, 0, len(found.entries))
	for each := range maps.Values(found.entries) {
		replicas = append(replicas, each.Info)
	}
	return replicas, found.elsewhere
}
