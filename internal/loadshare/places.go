package loadshare

import (
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// places says which nodes are exchanges: the first living storage node of each zone. Nodes of a zone without any report to the first
// of another zone.
type places struct {
	// self is this node's own address; isExchange says that it is one.
	self       netip.AddrPort
	isExchange bool
	// candidates are the exchanges that this node may report to, its own first; empty where there is none. Those of other zones stand in
	// for one that does not answer, in an order that differs from node to node.
	candidates []netip.AddrPort
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
		found.candidates = append(found.candidates, own.PeerAddress)
	}
	start := xxhash.Sum64String(string(view.Self))
	for offset := range uint64(len(zones)) {
		other := zones[(start+offset)%uint64(len(zones))]
		if other == zone {
			continue
		}
		found.candidates = append(found.candidates, first[other].PeerAddress)
	}
	return found
}

// placesCache keeps the places of the last view. It is safe for concurrent use.
type placesCache struct {
	mutex  sync.Mutex
	view   *membership.View
	places places
}

func (c *placesCache) of(view *membership.View, zone string) places {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view != view {
		c.view, c.places = view, placesOf(view, zone)
	}
	return c.places
}
