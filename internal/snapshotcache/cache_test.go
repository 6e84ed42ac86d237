package snapshotcache

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// soon is longer than a starting node needs to get copies from nodes that respond at once.
const soon = 2 * firstListingTimeout

// TestNoFetchWhenServiceAnswers: if the service answers at once, no other node is asked and the service is called once per node.
func TestNoFetchWhenServiceAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		store := serviceAt(5)
		store.delay = 4 * time.Millisecond
		for number := 1; number <= 4; number++ {
			c.start(number, nodeOptions{store: store, seeds: []netip.AddrPort{addressOf(1)}})
		}
		time.Sleep(5 * time.Second)
		for _, running := range c.nodes {
			running.wantCopies()
		}
		if store.listed() != len(c.nodes) || c.asked() != 0 {
			t.Errorf("%d listings by %d nodes, %d calls between them", store.listed(), len(c.nodes), c.asked())
		}
		c.stop()
	})
}

// TestStartWithoutServiceTakesNewestCopy: three nodes have copies of different revisions; the newest wins in any order of the responses.
func TestStartWithoutServiceTakesNewestCopy(t *testing.T) {
	for _, revisions := range [][]int64{{5, 6, 7}, {7, 6, 5}, {6, 7, 5}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			// Responses arrive one after the other, in the order of the nodes.
			c.network.SetConditions(func(from, _ netip.AddrPort) memory.Conditions {
				return memory.Conditions{Delay: time.Duration(from.Addr().As4()[3]) * time.Millisecond}
			})
			var seeds []netip.AddrPort
			for index, revision := range revisions {
				seeds = append(seeds, c.start(index+1, nodeOptions{store: serviceAt(revision)}).address)
			}
			time.Sleep(soon)
			late := c.start(9, nodeOptions{store: silentService(), seeds: seeds})
			time.Sleep(soon)
			copies, _, held := late.state()
			if held[prefix+"a"] != "revision 7" || !slices.IsSorted(copies) {
				t.Errorf("content in use is %q after copies %v", held[prefix+"a"], copies)
			}
			late.wantServed(7)
			c.stop()
		})
	}
}

// TestListingEndsCopies: once the service has listed a newer content, no node is asked and no copy is used.
func TestListingEndsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		holder := c.start(1, nodeOptions{store: serviceAt(5)})
		time.Sleep(soon)
		store := silentService()
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(soon)
		late.wantCopies(5)
		store.set(func() { store.silent, store.revision = false, 8 })
		store.put(prefix+"a", "newer")
		time.Sleep(5 * time.Second)
		asked := c.asked()
		holder.cache.options.Store.(*service).put(prefix+"a", "later than all")
		time.Sleep(5 * time.Second)
		copies, listings, held := late.state()
		if !slices.Equal(copies, []int64{5}) || !slices.Equal(listings, []int64{9}) || held[prefix+"a"] != "newer" {
			t.Errorf("copies %v, listings %v, holds %v", copies, listings, held)
		}
		if c.asked() != asked {
			t.Errorf("%d calls to other nodes after the service has listed the prefix", c.asked()-asked)
		}
		c.stop()
	})
}

// TestSlowListingReplacesCopy: the service takes 300 ms to answer. The node uses one copy until then, and none after the listing.
func TestSlowListingReplacesCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		holder := c.start(1, nodeOptions{store: serviceAt(5)})
		time.Sleep(soon)
		store := serviceAt(6)
		store.delay = 300 * time.Millisecond
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(10 * time.Second)
		copies, listings, _ := late.state()
		if !slices.Equal(copies, []int64{5}) || !slices.Equal(listings, []int64{6}) || store.listed() != 1 {
			t.Errorf("copies %v, listings %v of %d calls", copies, listings, store.listed())
		}
		c.stop()
	})
}

// TestOlderListingIsRefused: a listing older than the copy in use is refused until olderListingTimeout has passed.
func TestOlderListingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		holder := c.start(1, nodeOptions{store: serviceAt(9)})
		time.Sleep(soon)
		store := serviceAt(3)
		store.delay = 200 * time.Millisecond
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(olderListingTimeout / 2)
		if _, listings, held := late.state(); len(listings) > 0 || held[prefix+"a"] != "revision 9" {
			t.Errorf("accepted older listings %v", listings)
		}
		time.Sleep(olderListingTimeout)
		if _, listings, _ := late.state(); !slices.Equal(listings, []int64{3}) {
			t.Errorf("listings %v of a service restored from a backup", listings)
		}
		c.stop()
	})
}

// TestCopyIsRenewed: the service answers other nodes but not this one. Their changes arrive here within one renewInterval.
func TestCopyIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		answering := serviceAt(5)
		holder := c.start(1, nodeOptions{store: answering})
		time.Sleep(soon)
		late := c.start(2, nodeOptions{store: silentService(), seeds: []netip.AddrPort{holder.address}})
		time.Sleep(soon)
		answering.put(prefix+"a", "newer")
		time.Sleep(renewInterval + soon)
		if _, _, held := late.state(); held[prefix+"a"] != "newer" {
			t.Errorf("holds %v", held)
		}
		late.wantCopies(5, 6)
		c.stop()
	})
}

// TestIsolatedNodeLimitsFetches: a node that reaches no other node limits its rate of fetches, and gets a copy once the network heals.
func TestIsolatedNodeLimitsFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		holder := c.start(1, nodeOptions{store: serviceAt(5)})
		time.Sleep(soon)
		lone := addressOf(2)
		c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
			return memory.Conditions{Cut: from == lone || to == lone}
		})
		late := c.start(2, nodeOptions{store: silentService(), seeds: []netip.AddrPort{holder.address}})
		time.Sleep(10 * time.Second)
		late.wantCopies()
		if most := int(10*time.Second/fetchTimeout) + 1; c.asked() > most || c.asked() == 0 {
			t.Errorf("%d calls in 10 s, want %d at most", c.asked(), most)
		}
		c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions { return memory.Conditions{} })
		time.Sleep(fetchTimeout + 2*fetchInterval)
		late.wantCopies(5)
		c.stop()
	})
}

// TestUnreachableSeedsDoNotDelayCopy: no seed answers, by timeout or by an immediate error. The node gets a copy from a member that it knows.
func TestUnreachableSeedsDoNotDelayCopy(t *testing.T) {
	for _, silent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			c.network.SetConditions(func(_, to netip.AddrPort) memory.Conditions {
				return memory.Conditions{Cut: silent && to.Addr().As4()[3] > 100}
			})
			c.start(1, nodeOptions{store: serviceAt(5)})
			time.Sleep(soon)
			late := c.start(2, nodeOptions{
				store: silentService(), seeds: []netip.AddrPort{addressOf(101), addressOf(102), addressOf(103)},
				members: []membership.Member{memberOf(1, false)},
			})
			time.Sleep(soon + fetchInterval)
			late.wantCopies(5)
			c.stop()
		})
	}
}

// TestCopyAfterListingIsDropped: a copy that arrives after the listing is dropped even if it is newer, since the watch delivers newer
// content.
func TestCopyAfterListingIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
			return memory.Conditions{Delay: firstListingTimeout}
		})
		holder := c.start(1, nodeOptions{store: serviceAt(5)})
		time.Sleep(soon)
		store := serviceAt(4)
		store.delay = 2 * firstListingTimeout
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(time.Second)
		late.wantCopies()
		late.wantServed(4)
		c.stop()
	})
}
