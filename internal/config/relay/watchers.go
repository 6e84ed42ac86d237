package relay

import (
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

// peers are the addresses of the live members without this node, sorted.
type peers struct {
	zone  []netip.AddrPort
	other []netip.AddrPort
}

func peersOf(self membership.Member, live []membership.Member) peers {
	var found peers
	for _, member := range live {
		switch {
		case member.ID == self.ID:
		case member.Zone == self.Zone:
			found.zone = append(found.zone, member.PeerAddress)
		default:
			found.other = append(found.other, member.PeerAddress)
		}
	}
	slices.SortFunc(found.zone, netip.AddrPort.Compare)
	slices.SortFunc(found.other, netip.AddrPort.Compare)
	return found
}
