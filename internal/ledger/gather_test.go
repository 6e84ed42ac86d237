package ledger

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// After a power loss of the whole cluster, the nodes were up within 0.5 s, but partitions got their owners only 0.3 to
// 2.1 s later, some of them twice: a node chose the preferred owner and started its attempt before it could see the other
// nodes. Each node saw only itself and preferred itself for all partitions. Its requests to members that were not up got
// no answer and no error, so the attempt lasted for the request timeout of 1 s, even if the member was up 0.1 s later.
// The preferred owner did not try again meanwhile, and its next attempt took the partition from the node that had got it.
// The log showed `ownership_ended cause=timeout lasted=1001` from 5 of 11 nodes for all partitions at once, 1 s after
// their start, and `partition_lost cause=outranked` from those that were serving by then.

// TestRestartOfAllWaitsForTheMembers checks that no attempt fails if nodes start one after the other and see each other
// late.
func TestRestartOfAllWaitsForTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStorageCluster(t, 11)
		c.timing.MemberWait = 600 * time.Millisecond
		c.timing.Check = 100 * time.Millisecond
		defer c.stopAll()
		acknowledged := [][]string{{c.put(0, "a")}, {c.put(1, "a")}}
		for _, node := range c.nodes {
			c.stop(node)
		}
		before := c.log.size()
		c.view.isolateAll(true)
		up := map[netip.AddrPort]bool{}
		for _, node := range c.nodes {
			up[node.address] = true
			started := map[netip.AddrPort]bool{}
			for address := range up {
				started[address] = true
			}
			c.network.SetConditions(func(_, to netip.AddrPort) memory.Conditions {
				return memory.Conditions{Delay: linkDelay, Cut: !started[to]}
			})
			c.start(node)
			time.Sleep(100 * time.Millisecond)
		}
		c.view.isolateAll(false)
		began := time.Now()
		for partition := range acknowledged {
			acknowledged[partition] = append(acknowledged[partition], c.put(PartitionID(partition), "b"))
		}
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("jobs are accepted %s after all nodes see each other", took)
		}
		time.Sleep(5 * time.Second)
		if ended := strings.Count(c.log.since(before), "ownership_ended"); ended > 0 {
			t.Errorf("%d attempts or ownerships ended", ended)
		}
		for partition := range acknowledged {
			c.check(PartitionID(partition), acknowledged[partition])
		}
	})
}

// TestWaitForMembersIsBounded checks that a node waits for a member that does not come back for Timing.MemberWait at most.
func TestWaitForMembersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStorageCluster(t, 12)
		c.timing.MemberWait = 600 * time.Millisecond
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		for _, node := range c.nodes {
			c.stop(node)
		}
		lost := c.memberOfPartition0(t)
		c.view.change(lost.id, func(member *membership.Member) { member.State = membership.Dead })
		for _, node := range c.nodes {
			if node != lost {
				c.start(node)
			}
		}
		began := time.Now()
		acknowledged = append(acknowledged, c.put(0, "b"))
		if took := time.Since(began); took < c.timing.MemberWait || took > 3*c.timing.MemberWait {
			t.Errorf("served %s after the start, want soon after %s", took, c.timing.MemberWait)
		}
		c.check(0, acknowledged)
	})
}

// memberOfPartition0 returns a node whose store is a member of the ensemble of partition 0.
func (c *cluster) memberOfPartition0(t *testing.T) *testNode {
	t.Helper()
	for _, node := range c.nodes {
		ensemble, known := node.manager.directory.ensemble(0)
		for _, member := range ensemble.Members {
			if known && member.Node == string(node.id) {
				return node
			}
		}
	}
	t.Fatal("no member of partition 0")
	return nil
}
