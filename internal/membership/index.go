package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// index holds the members that are not dead, including this node, in the orders in which the
// protocol uses them.
type index struct {
	byZone map[zoneKey][]*record // sorted by id
	// zones are the keys of byZone, sorted so that random choices are reproducible for a given
	// seed.
	zones []zoneKey
	// ring holds the members of this node's zone in the order of idHash.
	ring []*record
	// suspects is the number of suspects in each zone.
	suspects map[zoneKey]int
	others   int // members besides this node
	// contacts are, by zone, the few members that this node probes and exchanges digests with while
	// there are no suspicions. Each node chooses its own by rendezvous hashing. Together the
	// choices form a well-connected graph, while a node keeps connections to some tens of members
	// instead of all.
	contacts map[zoneKey][]*record
}

// lookup returns the index, rebuilding it if a member has changed.
func (p *protocol) lookup() *index {
	if !p.indexStale {
		return &p.index
	}
	p.indexStale = false
	built := index{byZone: make(map[zoneKey][]*record), suspects: make(map[zoneKey]int)}
	for _, member := range p.sorted {
		if member.State == Dead && member != p.self {
			continue
		}
		built.byZone[member.zone] = append(built.byZone[member.zone], member)
		if member.State == Suspect {
			built.suspects[member.zone]++
		}
		if member != p.self {
			built.others++
		}
	}
	built.zones = slices.Sorted(maps.Keys(built.byZone))
	built.ring = slices.Clone(built.byZone[p.self.zone])
	slices.SortFunc(built.ring, func(a, b *record) int { return cmp.Compare(a.idHash, b.idHash) })
	built.contacts = make(map[zoneKey][]*record, len(built.zones))
	for _, zone := range built.zones {
		built.contacts[zone] = p.contactsOf(zone, built.byZone[zone])
	}
	p.index = built
	return &p.index
}

// contactsOf returns this node's contacts among the members of a zone: those with the lowest
// rendezvous rank.
func (p *protocol) contactsOf(zone zoneKey, members []*record) []*record {
	count := remoteContacts
	if zone == p.self.zone {
		count = zoneContacts
	}
	others := make([]*record, 0, len(members))
	for _, member := range members {
		if member != p.self {
			others = append(others, member)
		}
	}
	if len(others) <= count {
		return others
	}
	slices.SortFunc(others, func(a, b *record) int { return cmp.Compare(p.contactRank(a), p.contactRank(b)) })
	return others[:count]
}

// contactRank returns a member's rendezvous rank for this node.
func (p *protocol) contactRank(member *record) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], p.self.idHash)
	binary.LittleEndian.PutUint64(pair[8:], member.idHash)
	return xxhash.Sum64(pair[:])
}

// insert adds a new member.
func (p *protocol) insert(member *record) {
	p.records[member.ID] = member
	place := p.sortedPosition(member.ID)
	p.sorted = slices.Insert(p.sorted, place, member)
	p.publishUrgent = p.publishUrgent || len(p.sorted) >= 2*p.publishedMembers
}

// remove deletes a member that is no longer kept.
func (p *protocol) remove(id NodeID) {
	delete(p.records, id)
	place := p.sortedPosition(id)
	p.sorted = slices.Delete(p.sorted, place, place+1)
	p.news.remove(id)
}

func (p *protocol) sortedPosition(id NodeID) int {
	place, _ := slices.BinarySearchFunc(p.sorted, id, func(member *record, id NodeID) int { return cmp.Compare(member.ID, id) })
	return place
}

// sample returns up to count random members, other than this node, that accept returns true for. A
// nil accept admits all.
func (p *protocol) sample(members []*record, count int, accept func(*record) bool) []*record {
	var chosen []*record
	for _, position := range p.random.Perm(len(members)) {
		candidate := members[position]
		if candidate == p.self || (accept != nil && !accept(candidate)) {
			continue
		}
		if chosen = append(chosen, candidate); len(chosen) == count {
			break
		}
	}
	return chosen
}

// ringSuccessor returns the member the given number of places after this node on its zone's ring,
// or nil if the zone has no other member.
func (p *protocol) ringSuccessor(places int) *record {
	ring := p.lookup().ring
	if len(ring) < 2 {
		return nil
	}
	own := sort.Search(len(ring), func(i int) bool { return ring[i].idHash >= p.self.idHash })
	successor := ring[(own+places)%len(ring)]
	if successor == p.self {
		return nil
	}
	return successor
}
