package roster

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinWidth is the number of replicas of each service that a node keeps of its own zone. It is
	// a multiple of the slots that a node's callers need at once, with a reserve for replicas that
	// fail or drain.
	MinWidth = 32
	// otherZoneShare is the divisor of the width for each other zone. These replicas serve if the
	// node's own zone is lost, and requests that are confined to regions.
	otherZoneShare = 4
	// versionWidth is the number of replicas of each version of a service that a node keeps at
	// least, in any zone: streams go on only at the version that began them.
	versionWidth = 4
)

// Part describes the part of the list that a node keeps.
type Part struct {
	Node string
	Zone string
	// Width is the number of replicas of each service in the node's own zone.
	Width int
}

// countIn returns the number of replicas that accept requests which the part has in a zone.
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
	// elsewhere are the slots of the replicas outside the part that accept requests, by service.
	elsewhere map[string]int
}

// selectPart returns a node's part of the list. A node has a position on each ring by its name, and
// takes the replicas that follow it until it has enough that accept requests. Of versions of which it
// then has too few, those that are about to be replaced or have just appeared, it takes more from
// their rings. Together all nodes
// use all replicas about evenly, and adding or removing a replica changes one entry in the parts of
// a few nodes only. Draining replicas among them belong to the part, as the node may have requests
// there.
func (r *Roster) selectPart(part Part) selection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := selection{revision: r.revision, copied: r.copied, entries: map[string]*entry{}, elsewhere: map[string]int{}}
	for service, slots := range r.slots {
		found.elsewhere[service] = slots
	}
	for key, ring := range r.rings {
		found.add(arc(ring, ringPosition(part.Node, key), part.countIn(key.zone)))
	}
	kept := found.countVersions()
	for key, ring := range r.versions {
		if missing := versionWidth - kept[key]; missing > 0 {
			found.add(arc(found.without(ring), ringPosition(part.Node, ringKey{service: key.service}), missing))
		}
	}
	return found
}

// add adds entries to the selection.
func (s *selection) add(candidates []*entry) {
	for _, candidate := range candidates {
		s.entries[candidate.ID] = candidate
		if !candidate.Draining {
			s.elsewhere[candidate.Service] -= candidate.Slots
		}
	}
}

// countVersions counts the selected replicas of each version that accept requests.
func (s *selection) countVersions() map[versionKey]int {
	counts := map[versionKey]int{}
	for _, selected := range s.entries {
		if !selected.Draining {
			counts[selected.versionRing()]++
		}
	}
	return counts
}

// without returns the entries of a ring that are not selected.
func (s *selection) without(ring []*entry) []*entry {
	return slices.DeleteFunc(slices.Clone(ring), func(candidate *entry) bool { return s.entries[candidate.ID] != nil })
}

// ringPosition returns a node's position on a ring.
func ringPosition(node string, key ringKey) uint64 {
	return xxhash.Sum64String(node + "\x00" + key.service + "\x00" + key.zone)
}

// arc returns the entries of a ring from a position on, until wanted of them accept requests or the
// whole ring is included.
func arc(ring []*entry, position uint64, wanted int) []*entry {
	start, _ := slices.BinarySearchFunc(ring, position, func(candidate *entry, position uint64) int {
		if candidate.position < position {
			return -1
		}
		return 1
	})
	var found []*entry
	for offset := range ring {
		if wanted <= 0 {
			break
		}
		candidate := ring[(start+offset)%len(ring)]
		found = append(found, candidate)
		if !candidate.Draining {
			wanted--
		}
	}
	return found
}
