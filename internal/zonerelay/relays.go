package zonerelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// PerZone is the number of relays of a zone, so that one may be lost.
const PerZone = 2

// Relays are the relays of all zones by one view of the members.
type Relays struct {
	self   membership.NodeID
	byZone map[string][]membership.Member
}

// Of chooses the relays of each zone: of its members alive, those with a data folder before others, as they have the wider links, and of
// these the first by a digest of their names. A member that comes or goes changes no other choice of a zone than its own place.
func Of(view *membership.View) Relays {
	byZone := map[string][]membership.Member{}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			byZone[member.Zone] = insert(byZone[member.Zone], member)
		}
	}
	return Relays{self: view.Self, byZone: byZone}
}

// insert puts member among the chosen ones of its zone, if it comes before one of them.
func insert(chosen []membership.Member, member membership.Member) []membership.Member {
	place, _ := slices.BinarySearchFunc(chosen, member, compare)
	if place >= PerZone {
		return chosen
	}
	chosen = slices.Insert(chosen, place, member)
	return chosen[:min(len(chosen), PerZone)]
}

func compare(one, other membership.Member) int {
	if one.Store != other.Store {
		if one.Store {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(one.ID), rank(other.ID)), cmp.Compare(one.ID, other.ID))
}

func rank(id membership.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// InZone returns the relays of a zone, none where it has no member alive.
func (r Relays) InZone(zone string) []membership.Member { return r.byZone[zone] }

// Zones returns the zones that have relays, sorted.
func (r Relays) Zones() []string {
	zones := make([]string, 0, len(r.byZone))
	for zone := range r.byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// First returns the first relay of all zones by the order in which a zone's are chosen; found is false where there is none.
func (r Relays) First() (first membership.Member, found bool) {
	for _, relays := range r.byZone {
		for _, relay := range relays {
			if !found || compare(relay, first) < 0 {
				first, found = relay, true
			}
		}
	}
	return first, found
}

// IsRelay says that the node is one of the relays of its zone.
func (r Relays) IsRelay(id membership.NodeID) bool {
	for _, relays := range r.byZone {
		for _, relay := range relays {
			if relay.ID == id {
				return true
			}
		}
	}
	return false
}

// SelfIsRelay says that the node whose view it is is one.
func (r Relays) SelfIsRelay() bool { return r.IsRelay(r.self) }
