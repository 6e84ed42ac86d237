package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/zonerelay"
)

const (
	// forgets is how often the store forgets its history, forgetInterval how far apart, and drainsEach how many replicas drain before each.
	forgets        = 10
	forgetInterval = time.Second
	drainsEach     = 60
	// drainKnownWithin is the platform's least bound at the sizes at which the list is long.
	drainKnownWithin = 5 * time.Second
)

// startFleetWithCopies is startFleet of nodes that keep what they follow.
func startFleetWithCopies(t *testing.T, nodes int) (*testFleet, *boundedStore) {
	store := newBoundedStore(fleetBytesPerSecond, fleetReads)
	fleet := newTestFleet(t, store, nodes)
	fleet.withCopies = true
	return startedFleet(fleet, store)
}

// drainAndForget has replicas drain, each of them once, while the store forgets its history again and again.
func drainAndForget(store *boundedStore) {
	number := 0
	for range forgets {
		for range drainsEach {
			store.put(replicaKey(number), replicaValue(number)+"!")
			number += 2
			time.Sleep(forgetInterval / drainsEach)
		}
		store.forget()
	}
}

// TestForgottenHistoryDrawsFewCalls: where the store forgets its history again and again while replicas change, the whole list is read by one node
// for all that keep it, and all know what has changed.
func TestForgottenHistoryDrawsFewCalls(t *testing.T) {
	for _, nodes := range []int{60, 120} {
		synctest.Test(t, func(t *testing.T) {
			fleet, store := startFleetWithCopies(t, nodes)
			before := store.callsMade()
			drainAndForget(store)
			time.Sleep(drainKnownWithin)
			fleet.checkDrainedTo(2 * forgets * drainsEach)
			relays := zonerelay.PerZone * len(fleetZones)
			wholeList := fleetReplicas/boundedPage + 1
			seconds := int((forgets*forgetInterval + drainKnownWithin) / time.Second)
			// Each relay and the two that watch what operators write ask about twice a second at most, and once more for each history that is gone.
			most := forgets*wholeList + 2*seconds*(relays+2) + 2*forgets*(relays+2)
			if calls := store.callsMade() - before; calls > most {
				t.Errorf("%d nodes: %d calls of the store, want %d at most", nodes, calls, most)
			}
			fleet.stop()
		})
	}
}

// TestForgottenHistoryWithoutTheLister: the same is known in time where the node that reads the list for the others is lost without a word.
func TestForgottenHistoryWithoutTheLister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleetWithCopies(t, 60)
		first, _ := zonerelay.Of(fleet.nodes[0].viewer.View()).First()
		for _, node := range fleet.nodes {
			if node.id == first.ID {
				fleet.stopNode(node)
			}
		}
		drainAndForget(store)
		time.Sleep(drainKnownWithin)
		fleet.checkDrainedTo(2 * forgets * drainsEach)
		fleet.stop()
	})
}
