package relay

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// watchersPerZone is how many nodes of a zone watch the key-value service: two, so that the
// loss of one is not noticed.
const watchersPerZone = 2

// isWatcher says whether self is among the watchers of its zone: the live members
// with the highest rendezvous hash. A node that knows no member of its zone, itself among them, watches.
func isWatcher(self membership.Member, live []membership.Member) bool {
	own := rendezvous(self)
	higher := 0
	for _, member := range live {
		if member.Zone == self.Zone && member.ID != self.ID && rendezvous(member) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

func rendezvous(member membership.Member) uint64 {
	return xxhash.Sum64String("config-watcher\x00" + member.Zone + "\x00" + string(member.ID))
}

// partnersPerZone is how many nodes of each other zone a node exchanges digests with. They
// stay the same while they live, so that few connections are kept and used.
const partnersPerZone = 2

// peers are the addresses that a node exchanges digests with.
type peers struct {
	// zone holds all live members of the own zone, other the partners in other zones.
	zone  []netip.AddrPort
	other []netip.AddrPort
	// zones is the number of zones with live members, the own among them.
	zones int
}

// partner is a candidate with its rendezvous hash for one node.
type partner struct {
	hash    uint64
	address netip.AddrPort
}

func peersOf(self membership.Member, live []membership.Member) peers {
	var found peers
	byZone := make(map[string][partnersPerZone]partner)
	for _, member := range live {
		switch {
		case member.ID == self.ID:
		case member.Zone == self.Zone:
			found.zone = append(found.zone, member.PeerAddress)
		default:
			candidate := partner{hash: partnerHash(self, member), address: member.PeerAddress}
			byZone[member.Zone] = insert(byZone[member.Zone], candidate)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		for _, chosen := range byZone[zone] {
			if chosen.address.IsValid() {
				found.other = append(found.other, chosen.address)
			}
		}
	}
	found.zones = len(byZone) + 1
	return found
}

func partnerHash(self, member membership.Member) uint64 {
	return xxhash.Sum64String("config-partner\x00" + string(self.ID) + "\x00" + string(member.ID))
}

// insert keeps the candidates with the highest hashes, highest first.
func insert(best [partnersPerZone]partner, candidate partner) [partnersPerZone]partner {
	for index := range best {
		if !best[index].address.IsValid() || candidate.hash > best[index].hash {
			best[index], candidate = candidate, best[index]
		}
	}
	return best
}
