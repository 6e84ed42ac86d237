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
	// fleetBytesPerSecond is the store's bandwidth in these tests: sending the whole list to every node would take many times longer than
	// a node waits.
	fleetBytesPerSecond = 4 << 20
	fleetReadsPerSecond = 1000
	// fleetReplicas is the number of replicas, which register at registeredPerSecond.
	fleetReplicas       = 3000
	registeredPerSecond = 600
	// knownWithin is the time after the last registration, or after the start, within which all nodes must know their replicas.
	knownWithin = 5 * time.Second
)

// minPartSize returns the minimum number of usable replicas in a node's part of a long list.
func minPartSize() int {
	return roster.MinWidth + (len(fleetZones)-1)*roster.MinWidth/4
}

// TestManyNodesStartBeforeABoundedStore checks that all nodes know their parts within a time that does not grow with the number of nodes,
// both while replicas register and after all nodes start at once with a complete list, and that the number of calls is limited.
func TestManyNodesStartBeforeABoundedStore(t *testing.T) {
	for _, nodes := range []int{60, 120} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newBoundedStore(fleetBytesPerSecond, fleetReadsPerSecond)
				fleet := newTestFleet(t, store, nodes)
				fleet.start()
				registerReplicas(store, 0, fleetReplicas, registeredPerSecond)
				time.Sleep(knownWithin)
				fleet.checkParts("after the registrations")
				relays := zonerelay.RelaysPerZone * len(fleetZones)
				wholeList := fleetReplicas/entriesPerPage + 1
				// Each node lists both prefixes once. The relays read the whole list and watch, about twice per second while it changes.
				registrationSeconds := fleetReplicas/registeredPerSecond + int(knownWithin/time.Second)
				maxCalls := 2*nodes + (relays+2)*(wholeList+2*registrationSeconds)
				if calls := store.callsMade(); calls > maxCalls {
					t.Errorf("%d calls to the store while replicas register, want at most %d", calls, maxCalls)
				}
				fleet.stop()
				before := store.callsMade()
				fleet.start()
				time.Sleep(knownWithin)
				fleet.checkParts("after all nodes started")
				watching := int(knownWithin/time.Second) + 1
				withDataFolder := nodes / 5
				firstPages := roster.MaxFullList/entriesPerPage + 1
				maxCalls = nodes + withDataFolder*firstPages + relays*(wholeList+watching) + 2*watching
				if calls := store.callsMade() - before; calls > maxCalls {
					t.Errorf("%d calls to the store after all nodes started, want at most %d", calls, maxCalls)
				}
				fleet.stop()
			})
		})
	}
}

// checkParts fails the test if a node knows fewer replicas than a part has or more than twice as many, counts other slots than those of all
// replicas, or if the nodes together know less than half of the replicas.
func (f *testFleet) checkParts(when string) {
	f.t.Helper()
	const replicaSlots = 8
	known := map[string]bool{}
	for _, node := range f.nodes {
		if !node.running {
			continue
		}
		if usable := node.usable(); usable < minPartSize() || usable > 2*minPartSize() {
			f.t.Errorf("%s: %s has %d usable replicas, want a part of %d", when, node.id, usable, minPartSize())
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
		f.t.Errorf("%s: %d of %d replicas are known to any node, want at least half", when, len(known), fleetReplicas)
	}
}

// startFleet starts nodes with a long list of replicas, waits until they know their parts, and returns them with their store.
func startFleet(t *testing.T, nodes int) (*testFleet, *boundedStore) {
	store := newBoundedStore(fleetBytesPerSecond, fleetReadsPerSecond)
	fleet := newTestFleet(t, store, nodes)
	return startWithReplicas(fleet, store)
}

func startWithReplicas(fleet *testFleet, store *boundedStore) (*testFleet, *boundedStore) {
	registerReplicas(store, 0, fleetReplicas, fleetReplicas*10)
	fleet.start()
	time.Sleep(2 * knownWithin)
	return fleet, store
}

// TestDrainIsKnownWhileRelaysAreLost checks that every node knows within the bound that replicas are draining, and does not use them again,
// while relays stop without a leaving message. After the loss of all relays at once, the bound counts from the time at which membership
// detects it and new relays read the list.
func TestDrainIsKnownWhileRelaysAreLost(t *testing.T) {
	const (
		// drainBound is the platform's shortest bound at fleet sizes with a long list.
		drainBound = 5 * time.Second
		// detectionTime is how long membership takes to detect that a node is dead.
		detectionTime = 2800 * time.Millisecond
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
		{"all", [3]int{2, 2, 2}, detectionTime + drainBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, store := startFleet(t, 60)
				fleet.loseRelays(test.lost)
				time.AfterFunc(detectionTime, fleet.publishLosses)
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

// loseRelays stops the given number of relays of each zone.
func (f *testFleet) loseRelays(lost [3]int) {
	relays := zonerelay.Select(f.nodes[0].viewer.View())
	for index, zone := range fleetZones {
		for _, relay := range relays.InZone(zone)[:lost[index]] {
			nodeIndex := slices.IndexFunc(f.nodes, func(node *fleetNode) bool { return node.id == relay.ID })
			f.stopNode(f.nodes[nodeIndex])
		}
	}
}

// checkDrained fails the test if a node still uses a draining replica, those with even numbers, or has too few others.
func (f *testFleet) checkDrained() {
	f.t.Helper()
	f.checkDrainedBelow(fleetReplicas)
}

// checkDrainedBelow is checkDrained if only replicas with even numbers less than below are draining.
func (f *testFleet) checkDrainedBelow(below int) {
	f.t.Helper()
	for _, node := range f.nodes {
		if !node.running {
			continue
		}
		if usable := node.usable(); usable < minPartSize() {
			f.t.Errorf("%s has %d usable replicas, want at least %d", node.id, usable, minPartSize())
		}
		for handle := range node.directory.View().All() {
			if handle.Usable() && isDrained(handle, below) {
				f.t.Errorf("%s still uses the draining replica %s", node.id, handle.Info().ID)
			}
		}
	}
}

// isDrained reports whether a replica has an even number less than below.
func isDrained(handle *replica.Handle, below int) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(handle.Info().ID, "r"))
	return err == nil && number%2 == 0 && number < below
}

// TestNodeThatReachesNoRelayReadsTheListItself also checks that the node returns to its part once relays respond again.
func TestNodeThatReachesNoRelayReadsTheListItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleet(t, 30)
		node := fleet.nodes[1]
		fleet.isolate(node)
		store.put(replicaKey(0), "")
		time.Sleep(2 * knownWithin)
		if usable := node.usable(); usable < minPartSize() {
			t.Errorf("the isolated node has %d usable replicas, want at least a part", usable)
		}
		if slots := node.directory.View().Slots("s"); slots != (fleetReplicas-1)*8 {
			t.Errorf("the isolated node counts %d slots, want those without the removed replica", slots)
		}
		fleet.heal()
		time.Sleep(time.Minute)
		if usable := node.usable(); usable > 2*minPartSize() {
			t.Errorf("%d usable replicas after relays respond again, want a part of %d", usable, minPartSize())
		}
		fleet.stop()
	})
}

// TestShortListIsKeptByEach checks that every node keeps all replicas of a short list, only a part of a long one, and all again after a
// long list has become short.
func TestShortListIsKeptByEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newBoundedStore(fleetBytesPerSecond, fleetReadsPerSecond)
		fleet := newTestFleet(t, store, 30)
		fleet.start()
		registerReplicas(store, 0, roster.MaxFullList, registeredPerSecond)
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != roster.MaxFullList {
				t.Errorf("%s has %d usable replicas of a short list, want all", node.id, usable)
			}
		}
		registerReplicas(store, roster.MaxFullList, 2*roster.MaxFullList, registeredPerSecond)
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != minPartSize() {
				t.Errorf("%s has %d usable replicas of a long list, want %d", node.id, usable, minPartSize())
			}
		}
		const left = 60
		for number := left; number < 2*roster.MaxFullList; number++ {
			store.put(replicaKey(number), "")
		}
		time.Sleep(knownWithin)
		for _, node := range fleet.nodes {
			if usable := node.usable(); usable != left {
				t.Errorf("%s has %d usable replicas of a list that became short, want %d", node.id, usable, left)
			}
		}
		fleet.stop()
	})
}

// TestOutageOfTheStoreDrawsFewQuestions checks that during an outage of the store nodes keep their parts and do not ask the relays more
// often than otherwise, and that they learn of changes afterwards.
func TestOutageOfTheStoreDrawsFewQuestions(t *testing.T) {
	const outage = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet, store := startFleet(t, 60)
		store.setDown(true)
		time.Sleep(outage)
		before := fleet.partRequests()
		time.Sleep(outage)
		if perNode := float64(fleet.partRequests()-before) / 60 / outage.Seconds(); perNode > 3 {
			t.Errorf("%.1f requests to relays per node and second while the store is down, want at most 3", perNode)
		}
		fleet.checkParts("during the outage")
		for number := 0; number < fleetReplicas; number += 2 {
			store.put(replicaKey(number), replicaValue(number)+"!")
		}
		store.setDown(false)
		time.Sleep(knownWithin)
		fleet.checkDrained()
		fleet.stop()
	})
}
