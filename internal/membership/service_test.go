package membership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	zoneLimit  = 3 * time.Second
	everyLimit = 8 * time.Second
)

func TestAllJoinThroughSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 1)
		defer c.stopAll()
		t.Logf("all joined after %s", c.awaitAll(10*time.Second))
	})
}

func TestDeadNodeIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 70, 7, 3, 2)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		for _, number := range []int{0, 11, 25, 69} {
			victim := c.nodes[number]
			time.Sleep(time.Duration(137*number) * time.Millisecond)
			c.kill(victim)
			inZone := c.awaitDeadInZone(victim)
			everywhere := inZone + c.await(everyLimit-inZone, "dead everywhere", func(observer *clusterNode) bool {
				return stateOf(observer, victim) == Dead
			})
			t.Logf("%s: dead in its zone after %s, everywhere after %s", victim.member.ID, inZone, everywhere)
			c.start(victim)
			c.awaitAll(10 * time.Second)
		}
	})
}

func TestNoFalseDeathUnderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 3)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		deaths := c.watchDeaths()
		c.setLoss(0.05)
		time.Sleep(2 * time.Minute)
		if dead := deaths(); len(dead) > 0 {
			t.Fatalf("nodes declared dead under 5%% loss: %v", dead)
		}
	})
}

func TestNoFalseDeathInAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 4)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		deaths := c.watchDeaths()
		for pause := range 30 {
			node := c.nodes[(pause*11)%len(c.nodes)]
			c.network.Pause(node.member.PeerAddress)
			time.Sleep(2 * time.Second)
			c.network.Resume(node.member.PeerAddress)
			time.Sleep(1370 * time.Millisecond)
		}
		if dead := deaths(); len(dead) > 0 {
			t.Fatalf("nodes declared dead after pauses of 2 s: %v", dead)
		}
	})
}

// If all nodes are slow at once, the load of suspicions must not cause further suspicions.
func TestGlobalSlownessCausesNoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 70, 7, 3, 11)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		deaths := c.watchDeaths()
		c.setSlow(600 * time.Millisecond)
		time.Sleep(20 * time.Second)
		c.setSlow(0)
		t.Logf("all alive again after %s", c.awaitAll(5*time.Second))
		if dead := deaths(); len(dead) > 0 {
			t.Fatalf("%d reports of dead nodes while all were slow, first %s", len(dead), dead[0])
		}
	})
}

func TestZoneCutAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 5)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		lost := c.nodes[3].member.Zone
		c.setCut(func(from, to *clusterNode) bool { return (from.member.Zone == lost) != (to.member.Zone == lost) })
		took := c.await(everyLimit, "the cut zone is dead outside it", func(observer *clusterNode) bool {
			for _, node := range c.nodes {
				same := (node.member.Zone == lost) == (observer.member.Zone == lost)
				if observer.member.Zone != lost && same != (stateOf(observer, node) != Dead) {
					return false
				}
			}
			return true
		})
		t.Logf("the cut zone was dead outside after %s", took)
		time.Sleep(time.Minute)
		c.setCut(nil)
		t.Logf("healed after %s", c.awaitAll(20*time.Second))
	})
}

func TestRegionCutForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 3, 3, 6)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		away := c.nodes[0].member.Region
		c.setCut(func(from, to *clusterNode) bool { return (from.member.Region == away) != (to.member.Region == away) })
		time.Sleep(10 * time.Second)
		for _, observer := range c.nodes {
			for _, node := range c.nodes {
				same := (node.member.Region == away) == (observer.member.Region == away)
				if alive := stateOf(observer, node) == Alive; alive != same {
					t.Fatalf("%s holds %s alive: %v", observer.member.ID, node.member.ID, alive)
				}
			}
		}
		time.Sleep(time.Hour)
		c.setCut(nil)
		t.Logf("healed after %s", c.awaitAll(20*time.Second))
	})
}

func TestRollingRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 21, 7, 3, 7)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		for _, node := range c.nodes {
			before := node.service.View().Members[node.number].Incarnation
			c.restart(node, 2*time.Second)
			c.awaitAll(15 * time.Second)
			if after, _ := c.nodes[(node.number+1)%21].service.View().Find(node.member.ID); after.Incarnation <= before {
				t.Fatalf("%s came back as incarnation %d, was %d", node.member.ID, after.Incarnation, before)
			}
		}
	})
}

func TestPlannedLeaveIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 8)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		leaver := c.nodes[17]
		if err := leaver.service.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		took := c.await(2*time.Second, "leaving", func(observer *clusterNode) bool { return stateOf(observer, leaver) == Leaving })
		leaver.service.Stop()
		left := c.await(2*time.Second, "left", func(observer *clusterNode) bool {
			return observer == leaver || stateOf(observer, leaver) == Dead
		})
		t.Logf("leaving everywhere after %s, left after %s", took, left)
	})
}

func TestRevisionAndStoreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 42, 7, 3, 9)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		for _, node := range c.nodes {
			node.service.SetConfigRevision(12)
		}
		c.nodes[5].service.SetStore("disk-1")
		took := c.await(15*time.Second, "revision and store", func(observer *clusterNode) bool {
			for _, member := range observer.service.View().Members {
				if member.Revisions.Configuration != 12 {
					return false
				}
			}
			store, _ := observer.service.View().Find(c.nodes[5].member.ID)
			return store.Store && store.StoreIncarnation == "disk-1"
		})
		t.Logf("revision and store known after %s", took)
	})
}

// fixedList is a machine list that never changes.
type fixedList struct{ listing platform.MachineListing }

func (l fixedList) List(context.Context) (platform.MachineListing, error) { return l.listing, nil }

func TestMachineListLagsAndOwnEvidenceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 3, 1, 10)
		defer c.stopAll()
		c.awaitAll(10 * time.Second)
		// The list still names a dead machine, does not name a live one yet, and lists a third one
		// as leaving.
		late := c.nodes[5]
		late.service.Kill()
		late.transport.Stop()
		c.machines = fixedList{platform.MachineListing{Machines: []platform.Machine{
			{ID: "node-000", Role: platform.RoleNode, State: platform.MachineLive, Address: c.nodes[0].member.PeerAddress},
			{ID: "node-001", Role: platform.RoleNode, State: platform.MachineLeaving, Address: c.nodes[1].member.PeerAddress},
			{ID: "node-005", Role: platform.RoleNode, State: platform.MachineLive, Address: late.member.PeerAddress},
		}}}
		observer := c.nodes[2]
		observer.service.Kill()
		observer.transport.Stop()
		c.start(observer)
		time.Sleep(10 * time.Second)
		for number, want := range []State{Alive, Leaving, Alive, Alive, Alive, Dead} {
			if got := stateOf(observer, c.nodes[number]); got != want {
				t.Errorf("node %d is %s, want %s", number, got, want)
			}
		}
	})
}

// countedList counts the reads of a machine list.
type countedList struct {
	fixedList
	reads atomic.Int64
}

func (l *countedList) List(ctx context.Context) (platform.MachineListing, error) {
	l.reads.Add(1)
	return l.fixedList.List(ctx)
}

// A node that joins through its seeds never reads the machine list, so that the nodes of a large
// fleet do not all read as many entries. A node that reaches no other member reads it after
// JoinFirst, whether it has not joined yet or is cut off later.
func TestNodeThatJoinsThroughSeedsReadsNoList(t *testing.T) {
	const joinFirst = time.Second
	for name, cutOff := range map[string]bool{"seeds answer": false, "nobody answers at first": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, 3, 1, 11)
				defer c.stopAll()
				c.awaitAll(10 * time.Second)
				list := &countedList{fixedList: fixedList{platform.MachineListing{Machines: []platform.Machine{
					{ID: "node-002", Role: platform.RoleNode, State: platform.MachineLive, Address: c.nodes[2].member.PeerAddress},
				}}}}
				c.machines, c.joinFirst = list, joinFirst
				observer := c.nodes[5]
				c.kill(observer)
				c.setCut(func(from, to *clusterNode) bool { return cutOff && (from == observer || to == observer) })
				c.start(observer)
				time.Sleep(joinFirst - joinCheckInterval/2)
				if reads := list.reads.Load(); reads != 0 {
					t.Errorf("machine list read %d times before JoinFirst was over", reads)
				}
				time.Sleep(joinCheckInterval)
				c.setCut(func(_, _ *clusterNode) bool { return false })
				time.Sleep(3 * time.Second)
				if reads := list.reads.Load(); (reads > 0) != cutOff {
					t.Errorf("machine list read %d times after JoinFirst", reads)
				}
				if stateOf(observer, c.nodes[3]) != Alive {
					t.Error("the node has not joined")
				}
				before := list.reads.Load()
				time.Sleep(10 * DefaultTiming().ListPeriod)
				if reads := list.reads.Load() - before; reads != 0 {
					t.Errorf("machine list read %d times by a node that has joined", reads)
				}
				c.setCut(func(from, to *clusterNode) bool { return from == observer || to == observer })
				time.Sleep(4*DefaultTiming().ListPeriod + healTime)
				if list.reads.Load() == before {
					t.Error("machine list not read by a node that is cut off from all others")
				}
			})
		})
	}
}
