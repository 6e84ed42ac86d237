package discovery

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/transport/memory"
)

// versionWindow is how long a service must have had one version.
const versionWindow = 8 * time.Second

// startVersionedFleet starts nodes with replicas of one version, and waits until it is the sole one.
func startVersionedFleet(t *testing.T, nodes int) *silentFleet {
	fleet := startSilentFleetWith(t, nodes, 0)
	for number := range 4 {
		fleet.store.put(replicaKey(number), replicaValue(number)+" v1")
	}
	time.Sleep(2 * versionWindow)
	return fleet
}

// cutOff cuts a node off from all others; it still reaches the store.
func (f *silentFleet) cutOff(node *fleetNode) {
	f.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: fleetDelay, Cut: from == node.address || to == node.address}
	})
}

// soleVersion returns the sole version by a node, and fails if that takes longer than a caller waits.
func (f *silentFleet) soleVersion(node *fleetNode) string {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	return node.service.SoleVersion(ctx, "s", versionWindow)
}

// TestVersionThatANodeHasNotHeardOfIsNotMissed: a node that was cut off, or stood still, took its list for current and a version for the
// only one. What it has not heard of must count, also a version that came and went meanwhile.
func TestVersionThatANodeHasNotHeardOfIsNotMissed(t *testing.T) {
	joins := func(f *silentFleet) { f.store.put(replicaKey(9), replicaValue(9)+" v2") }
	for name, test := range map[string]struct {
		change func(f *silentFleet)
		want   string
	}{
		"a version joins":           {joins, ""},
		"a version comes and goes":  {func(f *silentFleet) { joins(f); f.store.remove(replicaKey(9)) }, ""},
		"a replica has none":        {func(f *silentFleet) { f.store.put(replicaKey(9), replicaValue(9)) }, ""},
		"the store does not answer": {func(f *silentFleet) { f.store.setSilent(true) }, ""},
		"its history is gone":       {func(f *silentFleet) { joins(f); f.store.remove(replicaKey(9)); f.store.forget() }, ""},
		"a replica of it joins":     {func(f *silentFleet) { f.store.put(replicaKey(9), replicaValue(9)+" v1") }, "v1"},
		"another service":           {func(f *silentFleet) { f.store.put(replicaKey(9), "other z1 v2") }, "v1"},
		"nothing changes":           {func(*silentFleet) {}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := startVersionedFleet(t, 6)
				defer fleet.stop()
				node := fleet.nodes[5]
				fleet.cutOff(node)
				test.change(fleet)
				if got := fleet.soleVersion(node); got != test.want {
					t.Errorf("the sole version is %q, want %q", got, test.want)
				}
			})
		})
	}
}

// TestVersionThatCameAndWentBeforeAListingIsNotMissed: the listing after missed changes shows their result only.
func TestVersionThatCameAndWentBeforeAListingIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startVersionedFleet(t, 6)
		defer fleet.stop()
		node := fleet.nodes[5]
		fleet.cutOff(node)
		fleet.store.put(replicaKey(9), replicaValue(9)+" v2")
		time.Sleep(time.Second)
		fleet.store.remove(replicaKey(9))
		fleet.store.put(replicaKey(8), replicaValue(8)+" v1")
		// The node has followed the changes, or has listed, by now.
		time.Sleep(versionWindow / 2)
		if got := fleet.soleVersion(node); got != "" {
			t.Errorf("the sole version is %q soon after another one", got)
		}
		time.Sleep(2 * versionWindow)
		if got := fleet.soleVersion(node); got != "v1" {
			t.Errorf("the sole version is %q long after another one", got)
		}
	})
}

// TestVersionIsKnownAfterALongCalm: the store forgets its history, so that a node must know how far the list reaches although nothing in
// it changes.
func TestVersionIsKnownAfterALongCalm(t *testing.T) {
	const historyKept = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := startVersionedFleet(t, 6)
		defer fleet.stop()
		for number := range 60 {
			fleet.store.put("other/key", strconv.Itoa(number))
			if number%int(historyKept/time.Second) == 0 {
				fleet.store.forget()
			}
			time.Sleep(time.Second)
		}
		for _, node := range fleet.nodes {
			if got := fleet.soleVersion(node); got != "v1" {
				t.Errorf("%s: the sole version is %q", node.id, got)
			}
		}
	})
}

// TestReadsOfVersionsAreShared: many streams that break off together are taken up together.
func TestReadsOfVersionsAreShared(t *testing.T) {
	const streams, maxReads = 200, 2
	synctest.Test(t, func(t *testing.T) {
		fleet := startVersionedFleet(t, 6)
		defer fleet.stop()
		node := fleet.nodes[5]
		before, _ := fleet.store.callCount()
		var asking sync.WaitGroup
		for range streams {
			asking.Go(func() {
				if got := fleet.soleVersion(node); got != "v1" {
					t.Errorf("the sole version is %q", got)
				}
			})
		}
		asking.Wait()
		// The watchers' own calls are among them.
		if after, _ := fleet.store.callCount(); after-before > maxReads+2 {
			t.Errorf("%d calls of the store, want %d reads at most", after-before, maxReads)
		}
	})
}
