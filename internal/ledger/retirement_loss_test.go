package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// copiedRecords of copiedRecordBytes each take two seconds to copy at slowRefillBytesPerSecond.
	copiedRecords            = 64
	copiedRecordBytes        = 2 << 10
	slowRefillBytesPerSecond = copiedRecords * copiedRecordBytes / 2
)

// slowCopies limits the rate at which all nodes copy records to stores that lack them, from now on.
func (c *cluster) slowCopies() {
	for _, node := range c.nodes {
		node.manager.stores.refill = rate.NewLimiter(slowRefillBytesPerSecond, fetchBytes)
		node.manager.stores.refill.AllowN(time.Now(), fetchBytes)
	}
}

// fill appends copiedRecords to partition 0 and returns them.
func (c *cluster) fill() []string {
	var acknowledged []string
	for number := range copiedRecords {
		acknowledged = append(acknowledged, c.put(0, fmt.Sprint(number, strings.Repeat(".", copiedRecordBytes))))
	}
	return acknowledged
}

// checkRetired checks that node is drained in the end, that all ensembles become whole without it, and that the acknowledged
// records are readable.
func (c *cluster) checkRetired(node *testNode, acknowledged []string) {
	c.t.Helper()
	c.check(0, acknowledged)
	c.eventually(string(node.id)+" is drained", func() bool {
		drained, _, err := c.nodes[0].manager.IsDrained(c.t.Context(), node.id)
		return err == nil && drained
	})
	for partition := range PartitionID(c.ledger.Partitions) {
		// A disk that was lost at the end of the retirement may still be being filled.
		c.eventually(fmt.Sprintf("partition %d is whole without %s", partition, node.id), func() bool {
			ensemble, _ := c.owner(partition).manager.directory.ensemble(partition)
			return ensemble.FullMembers() == c.ledger.Replicas && len(ensemble.Members) == c.ledger.Replicas && !isMember(ensemble, node)
		})
	}
	c.check(0, acknowledged)
}

// losers are the nodes whose disk may be lost beside the retirement of a member of partition 0.
func (c *cluster) losers(retiring *testNode) map[string]*testNode {
	owner := c.owner(0)
	members, spares := c.membersAndSpares(owner)
	losers := map[string]*testNode{"spare": spares[0], "retiring": retiring}
	for _, member := range append(members, owner) {
		switch {
		case member == retiring:
		case member == owner:
			losers["owner"] = owner
		default:
			losers["member"] = member
		}
	}
	return losers
}

// TestDiskLostWhileAnotherStoreIsRetired guards jobs against being unreadable for good: a retiring store was replaced before its
// successor had the records, so that the loss of one more disk left too few full members for a read quorum.
func TestDiskLostWhileAnotherStoreIsRetired(t *testing.T) {
	for _, loser := range []string{"owner", "member", "retiring", "spare"} {
		for _, retires := range []string{"member", "owner"} {
			// Negative delays are losses before the request.
			for _, delay := range []time.Duration{
				-1500 * time.Millisecond, -300 * time.Millisecond, 0, 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond,
				1200 * time.Millisecond, 2 * time.Second, 2300 * time.Millisecond, 4 * time.Second,
			} {
				t.Run(fmt.Sprint(loser, " lost ", delay, " after the request to retire a ", retires), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playLossWhileRetiring(t, 51, retires, loser, delay) })
				})
			}
		}
	}
}

// TestDiskLostAtTheEndOfARetirement holds two orders in which the disk is lost just as the retiring node is drained.
func TestDiskLostAtTheEndOfARetirement(t *testing.T) {
	for seed, test := range map[uint64]struct {
		loser string
		delay time.Duration
	}{106: {"member", 2823 * time.Millisecond}, 146: {"spare", 3572 * time.Millisecond}} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLossWhileRetiring(t, seed, "owner", test.loser, test.delay) })
		})
	}
}

func playLossWhileRetiring(t *testing.T, seed uint64, retires, loser string, delay time.Duration) {
	c := newStorageCluster(t, seed)
	defer c.stopAll()
	acknowledged := c.fill()
	owner := c.owner(0)
	members, _ := c.membersAndSpares(owner)
	retiring := members[0]
	if retires == "owner" {
		retiring = owner
	}
	lost, present := c.losers(retiring)[loser]
	if !present {
		t.Skip("the owner is the store that is retired")
	}
	c.slowCopies()
	if delay < 0 {
		c.powerOff(lost, func() { time.Sleep(-delay) })
	}
	c.retire(retiring)
	if delay >= 0 {
		time.Sleep(delay)
		c.powerOff(lost, func() { time.Sleep(time.Second) })
	}
	c.retire(retiring)
	c.checkRetired(retiring, acknowledged)
}

// powerOff stops a node, calls meanwhile, and starts the node with an empty disk.
func (c *cluster) powerOff(node *testNode, meanwhile func()) {
	c.stop(node)
	c.view.change(node.id, func(member *membership.Member) { member.State = membership.Dead })
	others := c.nodes
	c.nodes = slices.DeleteFunc(slices.Clone(others), func(other *testNode) bool { return other == node })
	meanwhile()
	c.nodes = others
	c.loseDisk(node)
}

// TestTwoDisksLostWhileAStoreIsRetired: with four copies, and ensembles changed by compare-and-swap, two disks may be lost beside
// a retirement.
func TestTwoDisksLostWhileAStoreIsRetired(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 2200 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint("lost ", delay, " after the request"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 52)
				defer c.stopAll()
				for range 5 {
					c.add(true)
				}
				acknowledged := c.fill()
				members, _ := c.membersAndSpares(c.owner(0))
				retiring := members[0]
				c.slowCopies()
				c.retire(retiring)
				time.Sleep(delay)
				c.loseDisk(members[1])
				c.loseDisk(members[2])
				c.retire(retiring)
				c.checkRetired(retiring, acknowledged)
			})
		})
	}
}

// TestRequestToRetireIsWithdrawn: wherever a planned change is when the request is withdrawn, the ensemble ends with as many
// members as wanted, and no store learns the log any more.
func TestRequestToRetireIsWithdrawn(t *testing.T) {
	for delay := time.Duration(0); delay <= 3*time.Second; delay += 250 * time.Millisecond {
		t.Run(fmt.Sprint(delay, " after it was made"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStorageCluster(t, 53)
				defer c.stopAll()
				acknowledged := c.fill()
				members, _ := c.membersAndSpares(c.owner(0))
				c.slowCopies()
				c.retire(members[0])
				time.Sleep(delay)
				c.retire()
				c.eventually("the ensembles are whole", func() bool {
					for partition := range PartitionID(c.ledger.Partitions) {
						owner := c.owner(partition).manager
						ensemble, _ := owner.directory.ensemble(partition)
						ownership, present := owner.ownership(partition)
						if !present || len(ensemble.Members) != c.ledger.Replicas || ensemble.FullMembers() != c.ledger.Replicas {
							return false
						}
						if _, learning := ownership.learner(); learning {
							return false
						}
					}
					return true
				})
				c.check(0, acknowledged)
			})
		})
	}
}

// TestDiskLostWhileAShortEnsembleGrows guards records against being unreadable for good: the read quorum of an ensemble with fewer
// members than wanted became larger with a third member, before that had the records.
func TestDiskLostWhileAShortEnsembleGrows(t *testing.T) {
	for delay := time.Duration(0); delay <= 3*time.Second; delay += 50 * time.Millisecond {
		t.Run(fmt.Sprint("lost after ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 54)
				defer c.stopAll()
				c.add(true)
				c.add(true)
				acknowledged := c.fill()
				c.add(true)
				c.add(true)
				c.slowCopies()
				time.Sleep(delay)
				c.loseDisk(c.owner(0))
				c.check(0, acknowledged)
				c.eventually("the ensemble has four full members", func() bool {
					ensemble, _ := c.owner(0).manager.directory.ensemble(0)
					return ensemble.FullMembers() == 4 && ensemble.WriteQuorum == 3
				})
				c.check(0, acknowledged)
			})
		})
	}
}

// TestEmptyStoreReplacesTheLostOneBeforeARetiringOne guards jobs against being unreadable for good: a store waited to be
// retired, another one was lost for good, and the empty store that came took the place of the first, whose records were needed.
func TestEmptyStoreReplacesTheLostOneBeforeARetiringOne(t *testing.T) {
	for _, retires := range []string{"owner", "member"} {
		for _, comes := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprint("the ", retires, " retires, a store comes ", comes, " after the loss"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newStorageClusterOf(t, 55, 3)
					defer c.stopAll()
					acknowledged := c.fill()
					owner := c.owner(0)
					members, _ := c.membersAndSpares(owner)
					retiring, lost := members[0], owner
					if retires == "owner" {
						retiring, lost = owner, members[0]
					}
					c.retire(retiring)
					time.Sleep(5 * time.Second)
					c.kill(lost)
					time.Sleep(comes)
					c.add(true)
					c.retire(retiring)
					time.Sleep(30 * time.Second)
					c.check(0, acknowledged)
					c.add(true)
					c.retire(retiring)
					c.checkRetired(retiring, acknowledged)
				})
			})
		}
	}
}
