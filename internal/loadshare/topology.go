package loadshare

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// maxRelays is the maximum number of nodes with callers through which a node may reach an exchange.
const maxRelays = 4

// route is a way to reach an exchange, directly or through a relay.
type route struct {
	// node is the exchange or, if relayed is set, the node that relays messages to its own exchange.
	node    netip.AddrPort
	relayed bool
}

// topology holds the exchanges, and the routes from this node to them. The exchange of a zone is its first live storage node. Nodes in a zone
// without one report to the exchange of another zone.
type topology struct {
	// self is this node's own address.
	self netip.AddrPort
	// isExchange is set if this node is the exchange of its zone.
	isExchange bool
	// exchanges are all exchanges that this node may report to, its own first. Those of other zones are used when one does not answer, in
	// an order that differs from node to node.
	exchanges []netip.AddrPort
	// routes are in order of preference; empty if there is no exchange. A node with callers that is partitioned from the storage nodes
	// reaches them through other nodes with callers.
	routes []route
}

// topologyOf derives the topology from a membership view for a node in the given zone.
func topologyOf(view *membership.View, zone string) topology {
	var result topology
	exchangeByZone := map[string]membership.Member{}
	var zones []string
	for index := range view.Members {
		member := &view.Members[index]
		if member.ID == view.Self {
			result.self = member.PeerAddress
		}
		if !member.Store || member.State != membership.Alive && member.State != membership.Suspect {
			continue
		}
		if _, known := exchangeByZone[member.Zone]; !known {
			exchangeByZone[member.Zone] = *member
			zones = append(zones, member.Zone)
		}
	}
	if local, inZone := exchangeByZone[zone]; inZone {
		result.isExchange = local.ID == view.Self
		result.exchanges = append(result.exchanges, local.PeerAddress)
	}
	offsetHash := xxhash.Sum64String(string(view.Self))
	for offset := range uint64(len(zones)) {
		candidate := zones[(offsetHash+offset)%uint64(len(zones))]
		if candidate == zone {
			continue
		}
		result.exchanges = append(result.exchanges, exchangeByZone[candidate].PeerAddress)
	}
	result.routes = routesTo(result.exchanges, relayNodes(view, zone))
	return result
}

// routesTo returns routes to the exchanges, alternating between direct and relayed ones.
func routesTo(exchanges, relays []netip.AddrPort) []route {
	if len(exchanges) == 0 {
		return nil
	}
	var routes []route
	for turn := range max(len(exchanges), len(relays)) {
		if turn < len(exchanges) {
			routes = append(routes, route{node: exchanges[turn]})
		}
		if turn < len(relays) {
			routes = append(routes, route{node: relays[turn], relayed: true})
		}
	}
	return routes
}

// relayNodes returns at most maxRelays nodes with callers that may relay for this node: those in its zone first, otherwise in an order that
// differs from node to node. A storage node has none.
func relayNodes(view *membership.View, zone string) []netip.AddrPort {
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
			address: member.PeerAddress, remote: member.Zone != zone,
			rank: xxhash.Sum64String(string(view.Self) + "\x00" + string(member.ID)),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.remote != b.remote {
			if a.remote {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank, b.rank)
	})
	var relays []netip.AddrPort
	for _, chosen := range candidates[:min(maxRelays, len(candidates))] {
		relays = append(relays, chosen.address)
	}
	return relays
}
