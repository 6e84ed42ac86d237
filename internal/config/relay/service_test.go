package relay_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/lab/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// spreadTarget is the time in which an accepted file should be in force on all nodes; spreadLimit is the guaranteed
// upper bound.
const (
	spreadTarget = time.Second
	spreadLimit  = 8 * time.Second
)

// onVirtualTime runs scenario on a started cluster that has revision 1 in force.
func onVirtualTime(t *testing.T, scenario func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 7)
		c.start()
		defer c.stop()
		c.wantSpread(c.apply("first"), spreadLimit, everyNode)
		scenario(t, c)
		c.wantIncreasing()
	})
}

func outage(zone string) platform.Fault {
	return platform.Fault{Zone: zone, Service: platform.KeyValue, Outage: platform.OutageRefuses}
}

func inFirstZone(node *clusterNode) bool { return node.member.Zone == "zone-0" }

func notInFirstZone(node *clusterNode) bool { return !inFirstZone(node) }

func TestSpreadWithinASecond(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		for number := range 5 {
			c.wantSpread(c.apply(fmt.Sprintf("tenant-%d", number)), spreadTarget, everyNode)
		}
	})
}

func TestRestartWhileTheStoreIsDown(t *testing.T) {
	onVirtualTime(t, func(t *testing.T, c *cluster) {
		revision := c.apply("second")
		c.wantSpread(revision, spreadTarget, everyNode)
		c.platform.Faults().Set(outage(platform.AnyZone))
		for _, node := range c.nodes {
			node.stop()
			node.start()
			c.wantSpread(revision, spreadLimit, everyNode)
		}
		c.platform.Faults().Clear(platform.AnyZone, platform.KeyValue)
		c.wantSpread(c.apply("third"), spreadLimit, everyNode)
	})
}

func TestRestartOfAllWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 7)
		for _, node := range c.nodes[:3] {
			node.dataFolder = t.TempDir()
		}
		c.start()
		c.wantSpread(c.apply("first"), spreadLimit, everyNode)
		revision := c.apply("second")
		c.wantSpread(revision, spreadTarget, everyNode)
		c.platform.Faults().Set(outage(platform.AnyZone))
		c.stop()
		damaged := filepath.Join(c.nodes[0].dataFolder, "config", "document")
		if err := os.WriteFile(damaged, []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
		c.start()
		defer c.stop()
		const readyTimeout = 10 * time.Second
		time.Sleep(readyTimeout / 2)
		for _, node := range c.nodes {
			if node.ready() || node.service.Current().Revision != 0 {
				t.Errorf("%s serves with revision %d, which is not confirmed", node.member.ID, node.service.Current().Revision)
			}
		}
		c.wantSpread(revision, readyTimeout+spreadTarget, everyNode)
		c.platform.Faults().Clear(platform.AnyZone, platform.KeyValue)
		c.wantSpread(c.apply("third"), spreadLimit, everyNode)
		c.wantIncreasing()
	})
}

func TestZoneWithoutTheStoreHearsFromOthers(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		c.platform.Faults().Set(outage("zone-0"))
		for number := range 5 {
			c.wantSpread(c.apply(fmt.Sprintf("tenant-%d", number)), spreadLimit, everyNode)
		}
	})
}

func TestZoneCutAndHeal(t *testing.T) {
	onVirtualTime(t, func(t *testing.T, c *cluster) {
		c.platform.Faults().Set(outage("zone-0"))
		c.cutZone()
		revision := c.apply("second")
		c.wantSpread(revision, spreadTarget, notInFirstZone)
		time.Sleep(10 * time.Minute)
		if !c.spread(1, inFirstZone) {
			t.Error("the partitioned zone does not keep its revision")
		}
		c.lose(0)
		c.wantSpread(revision, spreadLimit, everyNode)
		c.platform.Faults().Clear("zone-0", platform.KeyValue)
		c.wantSpread(c.apply("third"), spreadLimit, everyNode)
	})
}

func TestLostDeltasAreRepaired(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		c.lose(0.25)
		for number := range 5 {
			c.wantSpread(c.apply(fmt.Sprintf("tenant-%d", number)), spreadLimit, everyNode)
		}
	})
}

func TestAllRestartedAtOnceShareListings(t *testing.T) {
	onVirtualTime(t, func(t *testing.T, c *cluster) {
		before := c.platform.Counters()[platform.OperationList].Calls
		c.stop()
		c.start()
		c.wantSpread(1, spreadLimit, everyNode)
		listings := c.platform.Counters()[platform.OperationList].Calls - before
		if watchers := int64(2 * len(c.zones)); listings > watchers {
			t.Errorf("%d listings for %d watchers", listings, watchers)
		}
		c.wantSpread(c.apply("second"), spreadLimit, everyNode)
	})
}

func TestWatchersLostTogether(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		// The membership detects the loss of half of the nodes only after the change.
		var lost []*clusterNode
		for index, node := range c.nodes {
			if index%2 == 0 {
				node.stop()
				lost = append(lost, node)
			}
		}
		running := func(node *clusterNode) bool { return node.member.ID[len(node.member.ID)-1]%2 == 1 }
		revision := c.apply("second")
		time.Sleep(spreadTarget)
		for _, node := range lost {
			c.setLive(node, false)
		}
		c.wantSpread(revision, spreadLimit, running)
		for _, node := range lost {
			c.setLive(node, true)
			node.start()
		}
		c.wantSpread(revision, spreadLimit, everyNode)
	})
}

func TestCompactionAndSilentlyLostChanges(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		c.platform.Faults().Set(outage(platform.AnyZone))
		time.Sleep(time.Minute)
		c.platform.Faults().Clear(platform.AnyZone, platform.KeyValue)
		revision := c.apply("second")
		c.platform.Compact(1 << 40)
		c.wantSpread(revision, spreadLimit, everyNode)
	})
}

func TestSilentWatchesAreDetected(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		c.platform.Faults().Set(platform.Fault{Service: platform.KeyValue, Outage: platform.OutageHangs})
		time.Sleep(time.Second)
		c.platform.Faults().Clear(platform.AnyZone, platform.KeyValue)
		// Each watcher reads the head at least every 13.5 s in three zones.
		const longestHeadPoll = 13500 * time.Millisecond
		c.wantSpread(c.apply("second"), longestHeadPoll+spreadTarget, everyNode)
	})
}

func TestHangingServiceComesBack(t *testing.T) {
	onVirtualTime(t, func(_ *testing.T, c *cluster) {
		c.platform.Faults().Set(platform.Fault{Service: platform.KeyValue, Outage: platform.OutageHangs})
		time.Sleep(10 * time.Minute)
		c.platform.Faults().Clear(platform.AnyZone, platform.KeyValue)
		c.wantSpread(c.apply("second"), spreadLimit, everyNode)
	})
}

func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	onVirtualTime(t, func(t *testing.T, c *cluster) {
		c.platform.Faults().Set(platform.Fault{Service: platform.KeyValue, LoseAnswer: 0.3, DelayMilliseconds: 2})
		store := config.NewStore(c.platform.KeyValue(platform.AnyZone), zerolog.Nop())
		var operators sync.WaitGroup
		for operator := range 3 {
			operators.Go(func() {
				for number := range 4 {
					file := tenantFile(fmt.Sprintf("tenant-%d-%d", operator, number))
					if _, err := store.Apply(t.Context(), file, config.AnyRevision); err != nil {
						t.Errorf("operator %d: %v", operator, err)
					}
				}
			})
		}
		operators.Wait()
		c.wantSpread(1+3*4, spreadLimit, everyNode)
		for _, node := range c.nodes {
			if tenants := len(node.service.Current().Tenants); tenants != 1+3*4 {
				t.Errorf("%s has %d tenants", node.member.ID, tenants)
			}
		}
	})
}

// TestStoreCallsDoNotGrowWithNodes: in ten minutes without changes, a small and a large cluster stay below the same
// number of calls to the store.
func TestStoreCallsDoNotGrowWithNodes(t *testing.T) {
	const (
		zones            = 3
		quiet            = 10 * time.Minute
		shortestHeadPoll = 4500 * time.Millisecond
		watchers         = 2
	)
	for _, nodesPerZone := range []int{3, 12} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, zones, nodesPerZone)
			c.start()
			defer c.stop()
			c.wantSpread(c.apply("first"), spreadLimit, everyNode)
			before := c.calls()
			time.Sleep(quiet)
			calls := c.calls() - before
			t.Logf("%d nodes: %d calls in %s", len(c.nodes), calls, quiet)
			if maxCalls := int64(zones * watchers * (quiet/shortestHeadPoll + 1)); calls > maxCalls {
				t.Errorf("%d calls, want at most %d", calls, maxCalls)
			}
		})
	}
}

// TestWithMembership runs the relay on the real membership.
func TestWithMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 14)
		c.gossip = true
		c.start()
		defer c.stop()
		c.wantSpread(c.apply("first"), spreadLimit, everyNode)
		time.Sleep(time.Minute)
		before := c.calls()
		c.stop()
		c.start()
		c.wantSpread(1, spreadLimit, everyNode)
		t.Logf("%d calls at the restart of %d nodes", c.calls()-before, len(c.nodes))
		// A watcher lists, watches, and may read the head; a few other nodes briefly act as watchers too.
		if calls, maxCalls := c.calls()-before, int64(4*2*len(c.zones)); calls > maxCalls {
			t.Errorf("%d calls at the restart of all, want at most %d", calls, maxCalls)
		}
		time.Sleep(time.Minute)
		c.platform.Faults().Set(outage("zone-0"))
		c.cutZone()
		revision := c.apply("second")
		c.wantSpread(revision, spreadTarget, notInFirstZone)
		time.Sleep(time.Minute)
		c.lose(0)
		t.Logf("%s after the heal", c.wantSpread(revision, spreadLimit, everyNode))
		c.wantIncreasing()
	})
}
