package loadshare

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/transport/memory"
)

// isolateFromStores cuts the links between the given nodes and both storage nodes, and heals all others.
func (s *testNodes) isolateFromStores(nodes ...int) {
	s.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		conditions := memory.Conditions{Delay: time.Millisecond}
		for _, node := range nodes {
			for _, store := range []int{firstStore, secondStore} {
				isolated, storage := nodeAt(node+1), nodeAt(store+1)
				conditions.Cut = conditions.Cut || from == isolated && to == storage || from == storage && to == isolated
			}
		}
		return conditions
	})
}

// cutDetectionTime is the time within which a node that queries continuously has switched to another route.
const cutDetectionTime = (missesBeforeSwitch + 1) * (queryTimeout + freshAge)

// queryFor makes a node query continuously for the given duration, as a node with callers does.
func (s *testNodes) queryFor(t *testing.T, node int, duration time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < duration; {
		s.refresh(t, node)
	}
}

// TestNodeCutFromStorageLearnsThroughAnother: a node that is partitioned from the storage nodes knows the load of the others, and they know its
// load.
func TestNodeCutFromStorageLearnsThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startNodes(t)
		time.Sleep(firstExchangeTime)
		shared.isolateFromStores(firstEdge)
		shared.queryFor(t, firstEdge, cutDetectionTime)
		shared.acquire(firstEdge, "a", 3)
		shared.acquire(secondEdge, "a", 2)
		time.Sleep(4 * reportInterval)
		shared.refresh(t, firstEdge)
		shared.refresh(t, secondEdge)
		for _, node := range []int{firstEdge, secondEdge} {
			if got := shared.occupancy(node, "a"); got != 5 {
				t.Errorf("node %d sees %v requests at the replica, want 5", node, got)
			}
		}
		shared.stop()
	})
}

// TestNodeCutFromStorageStaysInformed: during the partition the node periodically tries its own exchange, and each try leaves it without answers
// for at most the timeout of one query.
func TestNodeCutFromStorageStaysInformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startNodes(t)
		time.Sleep(firstExchangeTime)
		shared.isolateFromStores(firstEdge)
		shared.queryFor(t, firstEdge, cutDetectionTime)
		var oldest time.Duration
		for began := time.Now(); time.Since(began) < 4*ownExchangeRetryInterval; {
			shared.refresh(t, firstEdge)
			_, age := shared.services[firstEdge].fleet.otherDemand("s", time.Now())
			oldest = max(oldest, age)
		}
		if oldest > queryTimeout+4*freshAge {
			t.Errorf("the last answer was %s old", oldest)
		}
		shared.stop()
	})
}

// TestEndOfACutIsNoticed: after a partition a node returns to its own exchange, and its load is not counted twice.
func TestEndOfACutIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startNodes(t)
		time.Sleep(firstExchangeTime)
		shared.isolateFromStores(firstEdge)
		shared.acquire(firstEdge, "a", 3)
		shared.queryFor(t, firstEdge, cutDetectionTime)
		shared.isolateFromStores()
		shared.queryFor(t, firstEdge, ownExchangeRetryInterval+queryTimeout)
		if used, _ := shared.services[firstEdge].queries.route(shared.services[firstEdge].currentTopology(), time.Now()); used.relayed {
			t.Error("the node still queries through a relay")
		}
		time.Sleep(4 * reportInterval)
		shared.refresh(t, secondEdge)
		if got := shared.occupancy(secondEdge, "a"); got != 3 {
			t.Errorf("another node sees %v requests at the replica, want 3", got)
		}
		shared.stop()
	})
}

// TestCutNodesPassNothingOn: two nodes that reach no storage node do not relay each other's queries in a loop.
func TestCutNodesPassNothingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startNodes(t)
		time.Sleep(firstExchangeTime)
		shared.isolateFromStores(firstEdge, secondEdge)
		shared.queryFor(t, secondEdge, cutDetectionTime)
		shared.queryFor(t, firstEdge, cutDetectionTime)
		if _, known := shared.services[firstEdge].OthersDemand("s", time.Now()); known {
			t.Error("a node that reaches no exchange, directly or through a relay, uses a stale demand")
		}
		shared.stop()
	})
}
