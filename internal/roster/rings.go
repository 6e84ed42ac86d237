package roster

import (
	"cmp"
	"slices"
)

// rings holds entries on one ring for each key, sorted by position and ID. Invariant: no ring is empty.
type rings[Key comparable] map[Key][]*entry

// appendUnsorted adds an entry at the end of its ring; sort must be called later.
func (r rings[Key]) appendUnsorted(key Key, added *entry) { r[key] = append(r[key], added) }

// sort sorts all rings.
func (r rings[Key]) sort() {
	for key := range r {
		slices.SortFunc(r[key], compareEntries)
	}
}

// insert adds an entry at its position.
func (r rings[Key]) insert(key Key, added *entry) {
	index, _ := slices.BinarySearchFunc(r[key], added, compareEntries)
	r[key] = slices.Insert(r[key], index, added)
}

// remove removes an entry; it panics if the ring does not have it.
func (r rings[Key]) remove(key Key, known *entry) {
	index, found := slices.BinarySearchFunc(r[key], known, compareEntries)
	if !found {
		panic("roster: an entry is missing on its ring")
	}
	r[key] = slices.Delete(r[key], index, index+1)
	if len(r[key]) == 0 {
		delete(r, key)
	}
}

func compareEntries(one, other *entry) int {
	return cmp.Or(cmp.Compare(one.position, other.position), cmp.Compare(one.ID, other.ID))
}
