package zonerelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// RelaysPerZone is the number of relays of a zone; one may be lost.
const RelaysPerZone = 2

// Relays holds the relays of all zones according to one view of the members.
type Relays struct {
	self   membership.NodeID
	byZone map[string][]membership.Member
}

// Select selects the relays of each zone among its live members: those with a data folder first,
// because they have more network bandwidth, and among these the first by the hash of their IDs.
// Adding or removing a member changes at most one of the relays of its zone.
func Select(view *membership.View) Relays {
	byZone := map[string][]membership.Member{}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			byZone[member.Zone] = insert(byZone[member.Zone], member)
		}
	}
	return Relays{self: view.Self, byZone: byZone}
}

// insert adds member to the selected members of its zone if it ranks before one of them, or if
// fewer than RelaysPerZone are selected.
func insert(chosen []membership.Member, member membership.Member) []membership.Member {
	index, _ := slices.BinarySearchFunc(chosen, member, compare)
	if index >= RelaysPerZone {
		return chosen
	}
	chosen = slices.Insert(chosen, index, member)
	return chosen[:min(len(chosen), RelaysPerZone)]
}

func compare(a, b membership.Member) int {
	if a.Store != b.Store {
		if a.Store {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
}

func rank(id membership.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// InZone returns the relays of a zone; none if it has no live member.
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

// First returns the relay that ranks first among those of all zones, in the order that Select uses
// within a zone; found is false if there is no relay.
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

// IsRelay reports whether the node is one of the relays of its zone.
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

// SelfIsRelay reports whether the node that owns the view is a relay.
func (r Relays) SelfIsRelay() bool { return r.IsRelay(r.self) }
