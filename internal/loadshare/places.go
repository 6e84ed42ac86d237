package loadshare

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// mostRelays bounds the nodes with callers through which a node may reach an exchange.
const mostRelays = 4

// way is how a node reaches an exchange.
type way struct {
	// node is the exchange, or the node that passes questions on to its own exchange where relayed is set.
	node    netip.AddrPort
	relayed bool
}

// places says which nodes are exchanges: the first living storage node of each zone. Nodes of a zone without any report to the first
// of another zone.
type places struct {
	// self is this node's own address; isExchange says that it is one.
	self       netip.AddrPort
	isExchange bool
	// exchanges are all exchanges that this node may report to, its own first. Those of other zones stand in for one that does not
	// answer, in an order that differs from node to node.
	exchanges []netip.AddrPort
	// ways are how this node reaches an exchange, the best first; empty where there is none. A node with callers that is cut off from the
	// storage nodes reaches them through others with callers.
	ways []way
}

// placesOf works out the places by a view of the members.
func placesOf(view *membership.View, zone string) places {
	var found places
	first := map[string]membership.Member{}
	var zones []string
	for index := range view.Members {
		member := &view.Members[index]
		if member.ID == view.Self {
			found.self = member.PeerAddress
		}
		if !member.Store || member.State != membership.Alive && member.State != membership.Suspect {
			continue
		}
		if _, known := first[member.Zone]; !known {
			first[member.Zone] = *member
			zones = append(zones, member.Zone)
		}
	}
	if own, inZone := first[zone]; inZone {
		found.isExchange = own.ID == view.Self
		found.exchanges = append(found.exchanges, own.PeerAddress)
	}
	start := xxhash.Sum64String(string(view.Self))
	for offset := range uint64(len(zones)) {
		other := zones[(start+offset)%uint64(len(zones))]
		if other == zone {
			continue
		}
		found.exchanges = append(found.exchanges, first[other].PeerAddress)
	}
	found.ways = waysTo(found.exchanges, relaysOf(view, zone))
	return found
}

// waysTo orders the ways: exchanges and relays by turns.
func waysTo(exchanges, relays []netip.AddrPort) []way {
	if len(exchanges) == 0 {
		return nil
	}
	var ways []way
	for turn := range max(len(exchanges), len(relays)) {
		if turn < len(exchanges) {
			ways = append(ways, way{node: exchanges[turn]})
		}
		if turn < len(relays) {
			ways = append(ways, way{node: relays[turn], relayed: true})
		}
	}
	return ways
}

// relaysOf returns nodes with callers that may pass questions on for this one, those of its zone first, in an order that differs from
// node to node; none for a storage node.
func relaysOf(view *membership.View, zone string) []netip.AddrPort {
	type candidate struct {
		address netip.AddrPort
		remote  bool
		rank    uint64
	}
	var candidates []candidate
	for index := range view.Members {
		member := &view.Members[index]
		if member.ID == view.Self {
			if member.Store {
				return nil
			}
			continue
		}
		if member.Store || member.State != membership.Alive {
			continue
		}
		candidates = append(candidates, candidate{
			address: member.PeerAddress, remote: member.Zone != zone, rank: xxhash.Sum64String(string(view.Self) + "\x00" + string(member.ID)),
		})
	}
	slices.SortFunc(candidates, func(one, other candidate) int {
		if one.remote != other.remote {
			if one.remote {
				return 1
			}
			return -1
		}
		return cmp.Compare(one.rank, other.rank)
	})
	var relays []netip.AddrPort
	for _, each := range candidates[:min(mostRelays, len(candidates))] {
		relays = append(relays, each.address)
	}
	return relays
}
