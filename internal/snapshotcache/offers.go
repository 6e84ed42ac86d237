package snapshotcache

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// offerInterval is how often copies are offered while the service does not answer. It bounds the wait of a starting node that has no disk
	// and knows no other node. Each node receives offerersPerNode messages of a few bytes per interval.
	offerInterval = 200 * time.Millisecond
	// offerersPerNode is how many nodes offer copies to each node, so that two of them may fail.
	offerersPerNode = 3
	// savedMachinesLifetime is how long after the start the nodes listed in the file count as known. This node may not have rediscovered
	// them earlier, even if the service answers.
	savedMachinesLifetime = time.Minute
)

// offerCopies offers copies to the nodes that targetsOf assigns to this one, while the service does not answer, until ctx ends.
func (c *Cache) offerCopies(ctx context.Context) {
	if !pause.Sleep(ctx, firstListingTimeout) {
		return
	}
	c.offer()
	pause.Every(ctx, offerInterval, func(time.Time) { c.offer() })
}

// offer offers copies once, if the service does not answer and this node has a copy of every prefix that is not listed.
func (c *Cache) offer() {
	if c.allListed() && !c.options.ServiceUnanswered() {
		return
	}
	c.mutex.Lock()
	missing := c.hasUnknownPrefix()
	c.mutex.Unlock()
	if missing {
		return
	}
	for _, address := range c.offerTargets() {
		// A lost message is repeated in the next interval.
		_ = c.options.Caller.Send(address, methodOffer, &snapshotcachepb.Offer{})
	}
}

// offerTargets returns the nodes to which this node offers copies. They are computed once per membership view, since the cost is the number of
// nodes times the number of nodes with a data folder.
func (c *Cache) offerTargets() []netip.AddrPort {
	view := c.options.Viewer.View()
	withSaved := clock.Since(c.started) < savedMachinesLifetime
	if c.targetCache.view != view || c.targetCache.withSaved != withSaved {
		c.targetCache = targetCache{view: view, withSaved: withSaved, targets: targetsOf(view.Self, c.machines())}
	}
	return c.targetCache.targets
}

// targetCache holds the offer targets computed for one membership view.
type targetCache struct {
	view      *membership.View
	withSaved bool
	targets   []netip.AddrPort
}

// machines returns the known nodes, sorted by ID: the members and, for savedMachinesLifetime after the start, those listed in the file.
func (c *Cache) machines() []machine {
	known := map[membership.NodeID]machine{}
	if clock.Since(c.started) < savedMachinesLifetime {
		c.mutex.Lock()
		for _, named := range c.savedMachines {
			known[named.id] = named
		}
		c.mutex.Unlock()
	}
	for _, member := range c.options.Viewer.View().Members {
		if member.State != membership.Dead {
			known[member.ID] = machine{id: member.ID, address: member.PeerAddress, store: member.Store}
		}
	}
	return slices.SortedFunc(maps.Values(known), func(a, b machine) int { return cmp.Compare(a.id, b.id) })
}

// targetsOf returns the nodes to which self offers copies, chosen by rendezvous hashing: each node is served by the offerersPerNode nodes with
// a data folder that have the highest affinity for it.
func targetsOf(self membership.NodeID, machines []machine) (addresses []netip.AddrPort) {
	ownAffinity := func(target machine) uint64 { return affinity(self, target.id) }
	for _, target := range machines {
		higherRanked := 0
		for _, other := range machines {
			if other.store && other.id != self && other.id != target.id && affinity(other.id, target.id) > ownAffinity(target) {
				higherRanked++
			}
		}
		if target.id != self && higherRanked < offerersPerNode {
			addresses = append(addresses, target.address)
		}
	}
	return addresses
}

// affinity returns the rendezvous hash by which the offerers of target are ranked.
func affinity(offerer, target membership.NodeID) uint64 {
	return xxhash.Sum64String(string(offerer) + "\x00" + string(target))
}
