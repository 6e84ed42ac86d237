package discovery

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

const (
	// fleetBytesPerSecond bounds the store of these tests so that the lists of all nodes would take it many times as long as a node waits.
	fleetBytesPerSecond = 4 << 20
	fleetReads          = 1000
	// fleetReplicas enter at entersPerSecond.
	fleetReplicas   = 3000
	entersPerSecond = 600
	// knownWithin is the time after the last entry, or after the start, within which all nodes know what they need.
	knownWithin = 5 * time.Second
)

// partOf is the least number of replicas that take requests in a node's part of a long list.
func partOf() int {
	return roster.LeastWidth + (len(fleetZones)-1)*roster.LeastWidth/4
}

// TestManyNodesStartBeforeABoundedStore: all nodes know what they need within a time that does not grow with their number, while replicas enter
// themselves, and again after all start at once before the whole list.
func TestManyNodesStartBeforeABoundedStore(t *testing.T) {
	for _, nodes := range []int{60, 120} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newBoundedStore(fleetBytesPerSecond, fleetReads)
				fleet := newTestFleet(t, store, nodes)
				fleet.start()
				enter(store, 0, fleetReplicas, entersPerSecond)
				time.Sleep(knownWithin)
				fleet.checkParts("after the entries")
				relays := zonerelay.PerZone * len(fleetZones)
				wholeList := fleetReplicas/boundedPage + 1
				// Each node lists both prefixes once; the relays read the whole list and watch, about twice a second while it changes.
				entering := fleetReplicas/entersPerSecond + int(knownWithin/time.Second)
				most := 2*nodes + (relays+2)*(wholeList+2*entering)
				if calls := store.callsMade(); calls > most {
					t.Errorf("%d calls of the store while replicas enter themselves, want %d at most", calls, most)
				}
				fleet.stop()
				before := store.callsMade()
				fleet.start()
				time.Sleep(knownWithin)
				fleet.checkParts("after a start of all")
				watching := int(knownWithin/time.Second) + 1
				withDataFolder := nodes / 5
				firstPages := roster.MostKeptByEach/boundedPage + 1
				most = nodes + withDataFolder*firstPages + relays*(wholeList+watching) + 2*watching
				if calls := store.callsMade() - before; calls > most {
					t.Errorf("%d calls of the store for a start of all, want %d at most", calls, most)
				}
				fleet.stop()
			})
		})
	}
}

// checkParts fails where a node knows fewer replicas than its part has, or keeps more than a part, or where replicas are no node's.
func (f *testFleet) checkParts(when string) {
	f.t.Helper()
	const replicaSlots = 8
	known := map[string]bool{}
	for _, node := range f.nodes {
		if !node.running {
			continue
		}
		if usable := node.usable(); usable < partOf() || usable > 2*partOf() {
			f.t.Errorf("%s: %s knows %d replicas, want a part of %d", when, node.id, usable, partOf())
		}
		if slots := node.directory.View().Slots("s"); slots != fleetReplicas*replicaSlots {
			f.t.Errorf("%s: %s counts %d slots of all replicas, want %d", when, node.id, slots, fleetReplicas*replicaSlots)
		}
		for handle := range node.directory.View().All() {
			known[handle.Info().ID] = true
		}
	}
	if f.t.Failed() {
		for _, line := range f.listings.all() {
			f.t.Log(line)
		}
	}
	if shareOfAll := float64(len(known)) / fleetReplicas; shareOfAll < 0.5 {
		f.t.Errorf("%s: %d of %d replicas are known to some node", when, len(known), fleetReplicas)
	}
}

// startFleet returns nodes that have started before a long list and know their parts, and their store.
func startFleet(t *testing.T, nodes int) (*testFleet, *boundedStore) {
	store := newBoundedStore(fleetBytesPerSecond, fleetReads)
	fleet := newTestFleet(t, store, nodes)
	return startedFleet(fleet, store)
}

func startedFleet(fleet *testFleet, store *boundedStore) (*testFleet, *boundedStore) {
	enter(store, 0, fleetReplicas, fleetReplicas*10)
	fleet.start()
	time.Sleep(2 * knownWithin)
	return fleet, store
}

// TestDrainIsKnownWhileRelaysAreLost: that a replica drains is known at each node within the bound while relays are lost without a word, and
// nothing brings it back. After the loss of all relays at once it is known as soon as new ones have read the list.
func TestDrainIsKnownWhileRelaysAreLost(t *testing.T) {
	const (
		// drainBound is the platform's least bound at the sizes at which the list is long.
		drainBound = 5 * time.Second
		// noticed is how long membership takes to see that a node is dead.
		noticed = 2800 * time.Millisecond
	)
	for _, test := range []struct {
		name  string
		lost  [3]int
		bound time.Duration
	}{
		{"none", [3]int{}, drainBound},
		{"one of each zone", [3]int{1, 1, 1}, drainBound},
		{"both of one zone", [3]int{2, 0, 0}, drainBound},
		{"both of two zones", [3]int{0, 2, 2}, drainBound},
		{"all", [3]int{2, 2, 2}, noticed + drainBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, store := startFleet(t, 60)
				fleet.loseRelays(test.lost)
				time.AfterFunc(noticed, fleet.showLost)
				for number := 0; number < fleetReplicas; number += 2 {
					store.put(replicaKey(number), replicaValue(number)+"!")
				}
				time.Sleep(test.bound)
				fleet.checkDrained()
				time.Sleep(drainBound)
				fleet.checkDrained()
				fleet.stop()
			})
		})
	}
}

// loseRelays stops so many relays of each zone.
func (f *testFleet) loseRelays(lost [3]int) {
	relays := zonerelay.Of(f.nodes[0].viewer.View())
	for index, zone := range fleetZones {
		for _, relay := range relays.InZone(zone)[:lost[index]] {
			place := slices.IndexFunc(f.nodes, func(node *fleetNode) bool { return node.id == relay.ID })
			f.stopNode(f.nodes[place])
		}
	}
}

// checkDrained fails where a node still uses one of the replicas that drain, or has no others.
func (f *testFleet) checkDrained() {
	f.t.Helper()
	f.checkDrainedTo(fleetReplicas)
}

// checkDrainedTo is checkDrained where those with an even number below one drain.
func (f *testFleet) checkDrainedTo(below int) {
	f.t.Helper()
	for _, node := range f.nodes {
		if !node.running {
			continue
		}
		if usable := node.usable(); usable < partOf() {
			f.t.Errorf("%s has %d replicas left to use, want %d", node.id, usable, partOf())
		}
		for handle := range node.directory.View().All() {
			if handle.Usable() && drains(handle, below) {
				f.t.Errorf("%s still uses %s", node.id, handle.Info().ID)
			}
		}
	}
}

// drains says that a replica is one of those with an even number below one.
func drains(handle *replica.Handle, below int) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(handle.Info().ID, "r"))
	return err == nil && number%2 == 0 && number < below
}

// TestNodeThatReachesNoRelayReadsTheListItself, and goes back to its part once relays answer.
func TestNodeThatReachesNoRelayReadsTheListItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleet(t, 30)
		node := fleet.nodes[1]
		fleet.cut(node)
		store.put(replicaKey(0), "")
		time.Sleep(2 * knownWithin)
		if usable := node.usable(); usable < partOf() {
			t.Errorf("%d replicas are known to a node that is cut off", usable)
		}
		if slots := node.directory.View().Slots("s"); slots != (fleetReplicas-1)*8 {
			t.Errorf("%d slots are counted by a node that is cut off: it does not know that a replica is gone", slots)
		}
		fleet.heal()
		time.Sleep(time.Minute)
		if usable := node.usable(); usable > 2*partOf() {
			t.Errorf("%d replicas are known once relays answer again, want a part of %d", usable, partOf())
		}
		fleet.stop()
	})
}

// TestShortListIsKeptByEach: below the bound each node knows all, and again after a long list has become short.
func TestShortListIsKeptByEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newBoundedStore(fleetBytesPerSecond, fleetReads)
		fleet := newTestFleet(t, store, 30)
		fleet.start()
		enter(store, 0, roster.MostKeptByEach, entersPerSecond)
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != roster.MostKeptByEach {
				t.Errorf("%s knows %d replicas of a short list", node.id, usable)
			}
		}
		enter(store, roster.MostKeptByEach, 2*roster.MostKeptByEach, entersPerSecond)
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != partOf() {
				t.Errorf("%s knows %d replicas of a long list, want %d", node.id, usable, partOf())
			}
		}
		const left = 60
		for number := left; number < 2*roster.MostKeptByEach; number++ {
			store.put(replicaKey(number), "")
		}
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != left {
				t.Errorf("%s knows %d replicas of a list that became short, want %d", node.id, usable, left)
			}
		}
		fleet.stop()
	})
}

// TestOutageOfTheStoreDrawsFewQuestions: while no relay is answered by the store, nodes keep their parts and ask no more often than else; after
// it they learn what changed.
func TestOutageOfTheStoreDrawsFewQuestions(t *testing.T) {
	const outage = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleet(t, 60)
		store.setDown(true)
		time.Sleep(outage)
		asked := fleet.questions()
		time.Sleep(outage)
		if perNode := float64(fleet.questions()-asked) / 60 / outage.Seconds(); perNode > 3 {
			t.Errorf("%.1f questions a second and node while the store is down", perNode)
		}
		fleet.checkParts("in the outage")
		for number := 0; number < fleetReplicas; number += 2 {
			store.put(replicaKey(number), replicaValue(number)+"!")
		}
		store.setDown(false)
		time.Sleep(knownWithin)
		fleet.checkDrained()
		fleet.stop()
	})
}
