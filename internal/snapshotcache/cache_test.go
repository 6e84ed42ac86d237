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

// soon is longer than a start takes to get copies from nodes that answer at once.
const soon = 2 * listingPatience

// TestNormalStartAsksNobody: where the service answers at once nobody is asked, and it is called as often as without copies.
func TestNormalStartAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		store := serviceAt(5)
		store.delay = 4 * time.Millisecond
		for number := 1; number <= 4; number++ {
			c.start(number, nodeOptions{store: store, seeds: []netip.AddrPort{addressOf(1)}})
		}
		time.Sleep(5 * time.Second)
		for _, each := range c.nodes {
			each.wantCopies()
		}
		if store.listed() != len(c.nodes) || c.asked() != 0 {
			t.Errorf("%d listings by %d nodes, %d calls between them", store.listed(), len(c.nodes), c.asked())
		}
		c.stop()
	})
}

// TestStartWithoutServiceTakesNewestCopy: copies of three ages; whatever the order of the answers the newest stays.
func TestStartWithoutServiceTakesNewestCopy(t *testing.T) {
	for _, revisions := range [][]int64{{5, 6, 7}, {7, 6, 5}, {6, 7, 5}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			// Answers come one after the other, in the order of the nodes.
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
				t.Errorf("goes by %q after copies %v", held[prefix+"a"], copies)
			}
			late.wantServed(7)
			c.stop()
		})
	}
}

// TestListingEndsCopies: the service comes back with a newer content, and nothing is asked or taken from then on.
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
			t.Errorf("%d nodes asked though the service has listed", c.asked()-asked)
		}
		c.stop()
	})
}

// TestSlowServiceIsTakenOver: a service that takes 300 ms: one copy meanwhile, then the listing, and no copy again.
func TestSlowServiceIsTakenOver(t *testing.T) {
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

// TestOlderListingIsRefused: a node never goes back behind the copy that it goes by, unless the service insists.
func TestOlderListingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		holder := c.start(1, nodeOptions{store: serviceAt(9)})
		time.Sleep(soon)
		store := serviceAt(3)
		store.delay = 200 * time.Millisecond
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(olderPatience / 2)
		if _, listings, held := late.state(); len(listings) > 0 || held[prefix+"a"] != "revision 9" {
			t.Errorf("went back to listings %v", listings)
		}
		time.Sleep(olderPatience)
		if _, listings, _ := late.state(); !slices.Equal(listings, []int64{3}) {
			t.Errorf("listings %v of a service that was restored", listings)
		}
		c.stop()
	})
}

// TestCopyIsRenewed: the service answers other nodes, not this one; what they learn comes here within the time that changes may take.
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

// TestCutOffNodeAsksSeldom: a node that reaches nobody goes by nothing, and does not flood its links; reached again, it gets a copy.
func TestCutOffNodeAsksSeldom(t *testing.T) {
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
		if most := int(10*time.Second/askTimeout) + 1; c.asked() > most || c.asked() == 0 {
			t.Errorf("%d calls in 10 s, want %d at most", c.asked(), most)
		}
		c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions { return memory.Conditions{} })
		time.Sleep(askTimeout + 2*askInterval)
		late.wantCopies(5)
		c.stop()
	})
}

// TestSeedsThatAreGoneCostLittle: of the seeds none answers, silently or at once; a member that the node knows does.
func TestSeedsThatAreGoneCostLittle(t *testing.T) {
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
			time.Sleep(soon + askInterval)
			late.wantCopies(5)
			c.stop()
		})
	}
}

// TestAnswerBehindListingIsDropped: a copy that comes after the service has listed, also a newer one: the watch brings what is newer.
func TestAnswerBehindListingIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
			return memory.Conditions{Delay: listingPatience}
		})
		holder := c.start(1, nodeOptions{store: serviceAt(5)})
		time.Sleep(soon)
		store := serviceAt(4)
		store.delay = 2 * listingPatience
		late := c.start(2, nodeOptions{store: store, seeds: []netip.AddrPort{holder.address}})
		time.Sleep(time.Second)
		late.wantCopies()
		late.wantServed(4)
		c.stop()
	})
}
