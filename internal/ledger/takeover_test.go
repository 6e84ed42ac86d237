package ledger

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// newSmallMachineCluster returns a cluster of storage nodes with the timing that nodes of a platform use.
func newSmallMachineCluster(t *testing.T, seed uint64, stores int) *cluster {
	c := newCluster(t, seed)
	c.ledger.Replicas, c.ledger.WriteQuorum, c.ledger.OwnersOnStores = 5, 4, true
	c.ledger.MembersDecide = true
	c.timing.Request, c.timing.Check, c.timing.Tick = time.Second, 100*time.Millisecond, 250*time.Millisecond
	c.timing.OwnerSilence, c.timing.SuspectRelease = 800*time.Millisecond, 300*time.Millisecond
	c.timing.MaxBackoff, c.timing.MinTenure, c.timing.MemberWait = time.Second, time.Minute, 600*time.Millisecond
	for range stores {
		c.add(true)
	}
	return c
}

// TestEmptyStoreDoesNotTakeOver checks that a node whose disk was lost does not own the partition again while other
// nodes have its records: it would have to read all of them over the network before it serves.
func TestEmptyStoreDoesNotTakeOver(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSmallMachineCluster(t, seed, 7)
				defer c.stopAll()
				acknowledged := []string{c.put(0, "before")}
				former := c.owner(0)
				c.loseDisk(former)
				owner := c.owner(0)
				if owner == former {
					t.Errorf("%s owns the partition again with an empty disk", former.id)
				}
				acknowledged = append(acknowledged, c.put(0, "after"))
				c.check(0, acknowledged)
			})
		})
	}
}

func without(nodes []*testNode, excluded *testNode) []*testNode {
	var kept []*testNode
	for _, node := range nodes {
		if node != excluded {
			kept = append(kept, node)
		}
	}
	return kept
}

// TestAttemptInProgressIsNotReleased checks that a node that recovers a partition declines to release it to another
// one, but releases it once the attempt has lasted for longer than a request may.
func TestAttemptInProgressIsNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSmallMachineCluster(t, 1, 5)
		defer c.stopAll()
		acknowledged := []string{c.put(0, "before")}
		former := c.owner(0)
		c.stop(former)
		c.view.change(former.id, func(member *membership.Member) { member.State = membership.Dead })
		c.nodes = without(c.nodes, former)
		attempting, asking := c.attemptWithoutAnswers(0)
		release := func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request := &ledgerpb.ReleaseRequest{Partition: 0, Successor: string(asking.id)}
			response := &ledgerpb.ReleaseResponse{}
			if err := asking.transport.Call(ctx, attempting.address, methodRelease, request, response); err != nil {
				t.Fatal(err)
			}
			return response.Released
		}
		if release() {
			t.Error("an attempt that has just begun is released")
		}
		time.Sleep(c.timing.Request)
		if !release() {
			t.Error("an attempt that makes no progress is not released")
		}
		c.network.SetConditions(normalConditions)
		c.check(0, acknowledged)
	})
}

// attemptWithoutAnswers waits until a node asks the stores to promise, which they then do not hear. It returns that node
// and another one.
func (c *cluster) attemptWithoutAnswers(partition PartitionID) (attempting, other *testNode) {
	c.t.Helper()
	for {
		for _, node := range c.nodes {
			ownership, present := node.manager.ownership(partition)
			if !present || ownership.serving.Load() {
				continue
			}
			c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
				// Only the node that is asked to release answers.
				return memory.Conditions{Delay: linkDelay, Cut: from == node.address && to != c.nodes[0].address && to != c.nodes[1].address}
			})
			for _, asking := range c.nodes[:2] {
				if asking != node {
					return node, asking
				}
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// TestSilentOwnerIsReplacedOnce checks that the nodes that claim a partition from an owner that does not answer do not
// take it from one another: each of them waits for the former owner's answer while another one has become the owner.
func TestSilentOwnerIsReplacedOnce(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSmallMachineCluster(t, seed, 7)
				defer c.stopAll()
				acknowledged := []string{c.put(0, "before")}
				time.Sleep(2 * time.Second)
				silent := c.owner(0)
				before := c.log.size()
				c.network.Pause(silent.address)
				defer c.network.Resume(silent.address)
				all := c.nodes
				c.nodes = without(all, silent)
				acknowledged = append(acknowledged, c.put(0, "meanwhile"))
				time.Sleep(2 * time.Second)
				if recovered := strings.Count(c.log.since(before), "partition_recovered"); recovered > 2 {
					t.Errorf("%d nodes became the owner one after the other of two partitions", recovered)
				}
				c.check(0, acknowledged)
				c.nodes = all
			})
		})
	}
}

// TestNodeWithoutRecordsWaitsForThoseThatHaveThem checks that after a restart of all nodes a node whose store lacks the
// records, and which sees the others late, does not own the partition.
func TestNodeWithoutRecordsWaitsForThoseThatHaveThem(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSmallMachineCluster(t, seed, 7)
				defer c.stopAll()
				acknowledged := []string{c.put(0, "before")}
				ensemble := c.owner(0).manager.Status()[0].Ensemble
				for _, node := range c.nodes {
					c.stop(node)
				}
				c.view.isolateAll(true)
				// Those without the records start first.
				slices.SortStableFunc(c.nodes, func(a, b *testNode) int { return compareStores(holds(ensemble, b), holds(ensemble, a)) })
				for _, node := range c.nodes {
					c.start(node)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(c.timing.MemberWait)
				c.view.isolateAll(false)
				owner := c.owner(0)
				if !holds(ensemble, owner) {
					t.Errorf("%s owns the partition without its records", owner.id)
				}
				acknowledged = append(acknowledged, c.put(0, "after"))
				c.check(0, acknowledged)
			})
		})
	}
}

func holds(ensemble protocol.Ensemble, node *testNode) bool {
	for _, member := range ensemble.Members {
		if member.Node == string(node.id) {
			return true
		}
	}
	return false
}
