package roster

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

// nonRelayTargets is how many nodes that are not relays are polled in each round, to learn whether
// other nodes are reachable.
const nonRelayTargets = 2

// targets returns the addresses to poll, in order: the relays of this node's zone, those of other
// zones, each in an order that differs between nodes, and some nodes that are not relays.
func (f *Follower) targets() []netip.AddrPort {
	view := f.options.Viewer.View()
	relays := f.relays.Get(view, zonerelay.Select)
	targets := f.rendezvousOrder(relays.InZone(f.options.Zone))
	var others []membership.Member
	for _, zone := range relays.Zones() {
		if zone != f.options.Zone {
			others = append(others, relays.InZone(zone)...)
		}
	}
	targets = append(targets, f.rendezvousOrder(others)...)
	return append(targets, f.sampleNonRelays(view, relays)...)
}

// sampleNonRelays returns the addresses of up to nonRelayTargets random nodes that are not relays.
func (f *Follower) sampleNonRelays(view *membership.View, relays zonerelay.Relays) []netip.AddrPort {
	var found []netip.AddrPort
	if len(view.Members) == 0 {
		return nil
	}
	for range nonRelayTargets {
		member := view.Members[rand.N(len(view.Members))]
		if member.ID != f.options.Node && member.State == membership.Alive && !relays.IsRelay(member.ID) {
			found = append(found, member.PeerAddress)
		}
	}
	return found
}

func (f *Follower) rendezvousOrder(relays []membership.Member) []netip.AddrPort {
	rank := func(member membership.Member) uint64 {
		return xxhash.Sum64String(string(f.options.Node) + "\x00" + string(member.ID))
	}
	ordered := slices.SortedFunc(slices.Values(relays), func(one, other membership.Member) int { return cmp.Compare(rank(one), rank(other)) })
	var addresses []netip.AddrPort
	for _, relay := range ordered {
		if relay.ID != f.options.Node {
			addresses = append(addresses, relay.PeerAddress)
		}
	}
	return addresses
}
