package roster

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeastWidth is the number of replicas of each service that a node keeps of its own zone: some times as many as the slots that a node's
	// callers want at once, with room for those that fail or drain.
	LeastWidth = 32
	// otherZoneShare is how many times fewer it keeps of each other zone, for the loss of its own and for requests confined to regions.
	otherZoneShare = 4
)

// Part says which replicas are a node's.
type Part struct {
	Node string
	Zone string
	// Width is the number of replicas of each service in the node's own zone.
	Width int
}

// countIn returns how many replicas that take requests the part has of a zone.
func (p Part) countIn(zone string) int {
	if zone == p.Zone {
		return p.Width
	}
	return max(1, p.Width/otherZoneShare)
}

// selection is one node's part of the list at one revision.
type selection struct {
	revision int64
	copied   bool
	entries  map[string]*entry
	// elsewhere are the slots of the other replicas that take requests, by service.
	elsewhere map[string]int
}

// selects returns a node's part of the list. On each ring a node has a place by its name, and takes the replicas behind it until it has as
// many that take requests as are its: so all nodes together use all replicas about evenly, and one that comes or goes changes one place in
// the parts of a few nodes only. Those that drain among them belong to it, for it may have requests there.
func (r *Roster) selects(part Part) selection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := selection{revision: r.revision, copied: r.copied, entries: map[string]*entry{}, elsewhere: map[string]int{}}
	for service, slots := range r.slots {
		found.elsewhere[service] = slots
	}
	for key, ring := range r.rings {
		for _, each := range arc(ring, placeOf(part.Node, key), part.countIn(key.zone)) {
			found.entries[each.ID] = each
			if !each.Draining {
				found.elsewhere[each.Service] -= each.Slots
			}
		}
	}
	return found
}

// placeOf is a node's place on a ring.
func placeOf(node string, key ringKey) uint64 {
	return xxhash.Sum64String(node + "\x00" + key.service + "\x00" + key.zone)
}

// arc returns the entries of a ring from a place on, with wanted ones that take requests, or all where there are no more.
func arc(ring []*entry, place uint64, wanted int) []*entry {
	start, _ := slices.BinarySearchFunc(ring, place, func(each *entry, place uint64) int {
		if each.position < place {
			return -1
		}
		return 1
	})
	var found []*entry
	for offset := range ring {
		if wanted <= 0 {
			break
		}
		each := ring[(start+offset)%len(ring)]
		found = append(found, each)
		if !each.Draining {
			wanted--
		}
	}
	return found
}
