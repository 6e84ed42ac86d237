package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// index orders the members that are not dead, this node among them.
type index struct {
	byZone map[zoneKey][]*record // sorted by id
	// zones are the keys of byZone, sorted, so that random choices repeat with the seed.
	zones []zoneKey
	// ring is the own zone in the order of idHash.
	ring []*record
	// suspects counts the suspects of each zone.
	suspects map[zoneKey]int
	others   int // members besides this node
	// contacts are, by zone, the few members that this node probes and compares digests with in calm times. Each node has its own, by
	// rendezvous, so that all together make a well-connected graph, while a node keeps connections to some tens of others
	// instead of all.
	contacts map[zoneKey][]*record
}

// lookup returns the index, rebuilt where a member changed its state.
func (p *protocol) lookup() *index {
	if !p.stale {
		return &p.index
	}
	p.stale = false
	built := index{byZone: make(map[zoneKey][]*record), suspects: make(map[zoneKey]int)}
	for _, held := range p.sorted {
		if held.State == Dead && held != p.self {
			continue
		}
		built.byZone[held.zone] = append(built.byZone[held.zone], held)
		if held.State == Suspect {
			built.suspects[held.zone]++
		}
		if held != p.self {
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

// contactsOf returns this node's contacts among the members of a zone: those of the lowest rendezvous rank.
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

// contactRank is a member's rendezvous rank for this node.
func (p *protocol) contactRank(member *record) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], p.self.idHash)
	binary.LittleEndian.PutUint64(pair[8:], member.idHash)
	return xxhash.Sum64(pair[:])
}

// insert adds a new member.
func (p *protocol) insert(held *record) {
	p.records[held.ID] = held
	place := p.placeOf(held.ID)
	p.sorted = slices.Insert(p.sorted, place, held)
	p.urgent = p.urgent || len(p.sorted) >= 2*p.published
}

// remove forgets a member.
func (p *protocol) remove(id NodeID) {
	delete(p.records, id)
	place := p.placeOf(id)
	p.sorted = slices.Delete(p.sorted, place, place+1)
	p.news.remove(id)
}

func (p *protocol) placeOf(id NodeID) int {
	place, _ := slices.BinarySearchFunc(p.sorted, id, func(held *record, id NodeID) int { return cmp.Compare(held.ID, id) })
	return place
}

// sample returns up to count random members that accept approves; nil approves all
// but this node.
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

// ringSuccessor returns the member so many places after this node on its zone's ring,
// or nil where the zone has no other.
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
