package loadshare

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/transport/memory"
)

// cutFromStores cuts the links between the nodes at the given places and both storage nodes, or heals all.
func (s *sharing) cutFromStores(places ...int) {
	s.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		conditions := memory.Conditions{Delay: time.Millisecond}
		for _, place := range places {
			for _, store := range []int{firstStore, secondStore} {
				one, other := nodeAt(place+1), nodeAt(store+1)
				conditions.Cut = conditions.Cut || from == one && to == other || from == other && to == one
			}
		}
		return conditions
	})
}

// untilCutIsNoticed is the time in which a node that asks all the time has found another way.
const untilCutIsNoticed = (missesBorne + 1) * (answerTimeout + freshFor)

// askOften has a node ask for a while, as one with callers does.
func (s *sharing) askOften(t *testing.T, place int, span time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < span; {
		s.ask(t, place)
	}
}

// TestNodeCutFromStorageLearnsThroughAnother: it knows what the others have, and they what it has.
func TestNodeCutFromStorageLearnsThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startSharing(t)
		time.Sleep(joined)
		shared.cutFromStores(firstEdge)
		shared.askOften(t, firstEdge, untilCutIsNoticed)
		shared.use(firstEdge, "a", 3)
		shared.use(secondEdge, "a", 2)
		time.Sleep(4 * interval)
		shared.ask(t, firstEdge)
		shared.ask(t, secondEdge)
		for _, place := range []int{firstEdge, secondEdge} {
			if got := shared.occupancy(place, "a"); got != 5 {
				t.Errorf("node %d sees %v requests at the replica, want 5", place, got)
			}
		}
		shared.stop()
	})
}

// TestNodeCutFromStorageStaysInformed: while the cut lasts it tries its own exchange now and then, and is without answers for the time of one
// question each time at most.
func TestNodeCutFromStorageStaysInformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startSharing(t)
		time.Sleep(joined)
		shared.cutFromStores(firstEdge)
		shared.askOften(t, firstEdge, untilCutIsNoticed)
		var oldest time.Duration
		for began := time.Now(); time.Since(began) < 4*ownExchangeAgain; {
			shared.ask(t, firstEdge)
			_, age := shared.services[firstEdge].fleet.demand("s", time.Now())
			oldest = max(oldest, age)
		}
		if oldest > answerTimeout+4*freshFor {
			t.Errorf("its last answer is %s old", oldest)
		}
		shared.stop()
	})
}

// TestEndOfACutIsNoticed: a node goes back to its own exchange, and nobody counts it twice then.
func TestEndOfACutIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startSharing(t)
		time.Sleep(joined)
		shared.cutFromStores(firstEdge)
		shared.use(firstEdge, "a", 3)
		shared.askOften(t, firstEdge, untilCutIsNoticed)
		shared.cutFromStores()
		shared.askOften(t, firstEdge, ownExchangeAgain+answerTimeout)
		if used, _ := shared.services[firstEdge].questions.way(shared.services[firstEdge].place(), time.Now()); used.relayed {
			t.Error("it still asks through another node")
		}
		time.Sleep(4 * interval)
		shared.ask(t, secondEdge)
		if got := shared.occupancy(secondEdge, "a"); got != 3 {
			t.Errorf("another node sees %v requests at the replica, want 3", got)
		}
		shared.stop()
	})
}

// TestCutNodesPassNothingOn: two nodes that reach no storage node do not ask each other in turns.
func TestCutNodesPassNothingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := startSharing(t)
		time.Sleep(joined)
		shared.cutFromStores(firstEdge, secondEdge)
		shared.askOften(t, secondEdge, untilCutIsNoticed)
		shared.askOften(t, firstEdge, untilCutIsNoticed)
		if _, known := shared.services[firstEdge].OthersDemand("s", time.Now()); known {
			t.Error("a node that reaches no exchange, through others neither, takes old numbers for new ones")
		}
		shared.stop()
	})
}
