package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/zonerelay"
)

const (
	// compactions is how often the store compacts its history, compactionInterval the time between two compactions, and drainsPerCompaction
	// the number of replicas that start draining before each.
	compactions         = 10
	compactionInterval  = time.Second
	drainsPerCompaction = 60
	// drainKnownWithin is the platform's shortest bound at fleet sizes with a long list.
	drainKnownWithin = 5 * time.Second
)

// startFleetWithCopies is startFleet with withCopies set.
func startFleetWithCopies(t *testing.T, nodes int) (*testFleet, *boundedStore) {
	store := newBoundedStore(fleetBytesPerSecond, fleetReadsPerSecond)
	fleet := newTestFleet(t, store, nodes)
	fleet.withCopies = true
	return startWithReplicas(fleet, store)
}

// drainAndCompact makes replicas drain, each of them once, while the store compacts its history repeatedly.
func drainAndCompact(store *boundedStore) {
	number := 0
	for range compactions {
		for range drainsPerCompaction {
			store.put(replicaKey(number), replicaValue(number)+"!")
			number += 2
			time.Sleep(compactionInterval / drainsPerCompaction)
		}
		store.compact()
	}
}

// TestForgottenHistoryDrawsFewCalls checks that if the store compacts its history repeatedly while replicas change, a single node reads the
// whole list for all nodes that keep it, and all nodes learn of the changes.
func TestForgottenHistoryDrawsFewCalls(t *testing.T) {
	for _, nodes := range []int{60, 120} {
		synctest.Test(t, func(t *testing.T) {
			fleet, store := startFleetWithCopies(t, nodes)
			before := store.callsMade()
			drainAndCompact(store)
			time.Sleep(drainKnownWithin)
			fleet.checkDrainedBelow(2 * compactions * drainsPerCompaction)
			relays := zonerelay.RelaysPerZone * len(fleetZones)
			wholeList := fleetReplicas/entriesPerPage + 1
			seconds := int((compactions*compactionInterval + drainKnownWithin) / time.Second)
			// Each relay and the two watchers of the operators' prefix make at most about two calls per second, and more for each compaction.
			maxCalls := compactions*wholeList + 2*seconds*(relays+2) + 2*compactions*(relays+2)
			if calls := store.callsMade() - before; calls > maxCalls {
				t.Errorf("%d nodes: %d calls to the store, want at most %d", nodes, calls, maxCalls)
			}
			fleet.stop()
		})
	}
}

// TestForgottenHistoryWithoutTheLister checks that the changes are known in time although the node that reads the list for the others has
// stopped without a leaving message.
func TestForgottenHistoryWithoutTheLister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleetWithCopies(t, 60)
		first, _ := zonerelay.Select(fleet.nodes[0].viewer.View()).First()
		for _, node := range fleet.nodes {
			if node.id == first.ID {
				fleet.stopNode(node)
			}
		}
		drainAndCompact(store)
		time.Sleep(drainKnownWithin)
		fleet.checkDrainedBelow(2 * compactions * drainsPerCompaction)
		fleet.stop()
	})
}
