package relay

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// watchersPerZone is how many nodes of a zone watch the key-value service: two, so that the
// loss of one does not delay changes.
const watchersPerZone = 2

// isWatcher reports whether self is a watcher of its zone: one of the live members with
// the highest rendezvous hashes. A node that knows no other member of its zone is a
// watcher.
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
// stay the same while they are alive, so that few connections are needed.
const partnersPerZone = 2

// peers are the addresses that a node exchanges digests with.
type peers struct {
	// zone are the other live members of the own zone, other the partners in other zones.
	zone  []netip.AddrPort
	other []netip.AddrPort
	// zones is the number of zones with live members, including the own zone.
	zones int
}

// partner is a candidate partner of a node, with its rendezvous hash.
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

// insert inserts candidate into best, which holds the candidates with the highest hashes,
// highest first.
func insert(best [partnersPerZone]partner, candidate partner) [partnersPerZone]partner {
	for index := range best {
		if !best[index].address.IsValid() || candidate.hash > best[index].hash {
			best[index], candidate = candidate, best[index]
		}
	}
	return best
}
