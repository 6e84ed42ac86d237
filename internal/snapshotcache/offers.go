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
	// offerInterval is how often copies are offered while the service does not answer. A node that starts without a disk and knows nobody
	// waits this long at most; each node gets offerers messages of a few bytes in that time.
	offerInterval = 200 * time.Millisecond
	// offerers is how many nodes offer copies to each node, so that two of them may be lost.
	offerers = 3
	// rememberFor is how long after a start the nodes count that the file named: this node may not have found them again before, also where
	// the service answers.
	rememberFor = time.Minute
)

// offerCopies offers copies to this node's share of the others while the service does not answer, until ctx ends.
func (c *Cache) offerCopies(ctx context.Context) {
	if !pause.Sleep(ctx, listingPatience) {
		return
	}
	c.offer()
	pause.Every(ctx, offerInterval, func(time.Time) { c.offer() })
}

// offer offers copies once, where there are some and the service does not answer.
func (c *Cache) offer() {
	if c.listedAll() && !c.options.Unanswered() {
		return
	}
	c.mutex.Lock()
	missing := c.missing()
	c.mutex.Unlock()
	if missing {
		return
	}
	for _, address := range c.offerTargets() {
		// A message that is lost is sent again in the next interval.
		_ = c.options.Caller.Send(address, methodOffer, &snapshotcachepb.Offer{})
	}
}

// offerTargets returns the nodes to which this one offers, worked out once for each view of the members: that takes a step for each node and each
// node with a data folder.
func (c *Cache) offerTargets() []netip.AddrPort {
	view := c.options.Viewer.View()
	remembering := clock.Since(c.started) < rememberFor
	if c.offersBy.view != view || c.offersBy.remembering != remembering {
		c.offersBy = offersBy{view: view, remembering: remembering, targets: offerTo(view.Self, c.machines())}
	}
	return c.offersBy.targets
}

// offersBy are the nodes to which this one offers by one view of the members.
type offersBy struct {
	view        *membership.View
	remembering bool
	targets     []netip.AddrPort
}

// machines returns the nodes that are known, sorted by ID: the members, and for a while after the start those that the file named.
func (c *Cache) machines() []machine {
	known := map[membership.NodeID]machine{}
	if clock.Since(c.started) < rememberFor {
		c.mutex.Lock()
		for _, named := range c.remembered {
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

// offerTo returns the nodes to which self offers: those of whose offerers, the first of the nodes with a data folder by a digest of both
// names, it is one.
func offerTo(self membership.NodeID, machines []machine) (addresses []netip.AddrPort) {
	own := func(target machine) uint64 { return affinity(self, target.id) }
	for _, target := range machines {
		before := 0
		for _, other := range machines {
			if other.store && other.id != self && other.id != target.id && affinity(other.id, target.id) > own(target) {
				before++
			}
		}
		if target.id != self && before < offerers {
			addresses = append(addresses, target.address)
		}
	}
	return addresses
}

// affinity ranks the nodes that may offer to target.
func affinity(offerer, target membership.NodeID) uint64 {
	return xxhash.Sum64String(string(offerer) + "\x00" + string(target))
}
