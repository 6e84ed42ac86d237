package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
)

func TestAppendsSurviveOwnersAndDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		var acknowledged []string
		for i := range 20 {
			acknowledged = append(acknowledged, c.put(0, fmt.Sprint("first-", i)))
		}
		owner := c.owner(0)
		c.stop(owner)
		c.view.change(owner.id, func(member *membership.Member) { member.State = membership.Dead })
		for i := range 20 {
			acknowledged = append(acknowledged, c.put(0, fmt.Sprint("second-", i)))
		}
		c.check(0, acknowledged)
		c.start(owner)
		c.eventually("the preferred owner takes over", func() bool {
			preferred, _ := highestRanked(nodeViewer{c.view, owner.id}.View(), 0, func(*membership.Member) bool { return true })
			return c.owner(0).id == preferred.ID
		})
		c.check(0, acknowledged)
	})
}

func TestLostDisksAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		var acknowledged []string
		for round := range 3 {
			for i := range 10 {
				acknowledged = append(acknowledged, c.put(0, fmt.Sprint(round, "-", i)))
			}
			c.loseDisk(c.nodes[round])
			c.loseDisk(c.nodes[round+1])
			c.check(0, acknowledged)
			c.eventually("the ensemble is whole", func() bool {
				status := c.owner(0).manager.Status()[0]
				return status.Ensemble.FullMembers() == 4 && status.Ensemble.Version > uint64(4*round)
			})
		}
		c.check(0, acknowledged)
	})
}

func TestTakeoverWithoutKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for range 4 {
			c.add(true)
		}
		c.add(false)
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		c.keyValue.set(func() { c.keyValue.down = true })
		c.kill(c.owner(0))
		acknowledged = append(acknowledged, c.put(0, "b"))
		newcomer := c.add(false)
		c.eventually("a node started in the outage learns the ensembles", newcomer.manager.directory.complete)
		c.check(0, acknowledged)
	})
}

func TestHandoverLosesNoAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		leaving := c.owner(0)
		machine := leaving.register(0)
		var last error = errNotOwner()
		machine.onQuiesce = func(ctx context.Context) { last = machine.put(ctx, "quiesced") }
		c.view.change(leaving.id, func(member *membership.Member) { member.State = membership.Leaving })
		if err := leaving.manager.Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		if last != nil {
			t.Fatalf("append while the machine quiesces: %v", last)
		}
		acknowledged = append(acknowledged, "quiesced", c.put(0, "b"))
		if c.owner(0) == leaving {
			t.Fatal("the leaving node owns the partition again")
		}
		time.Sleep(5 * time.Second)
		c.check(0, acknowledged)
	})
}

func TestOwnerThatAnswersIsNotOutranked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		owner := c.owner(0)
		ownership, _ := owner.manager.ownership(0)
		other := c.nodes[0]
		if other == owner {
			other = c.nodes[1]
		}
		// As just after a network partition has healed: messages pass, but the view is still out of date.
		c.view.isolate(other.id)
		time.Sleep(2 * time.Second)
		c.view.isolate("")
		acknowledged = append(acknowledged, c.put(0, "b"))
		if present, _ := owner.manager.ownership(0); present != ownership {
			t.Fatal("an owner that answers lost its partition")
		}
		c.check(0, acknowledged)
	})
}

func TestSingleStoreGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.add(true)
		defer c.stopAll()
		acknowledged := []string{c.put(0, "alone")}
		if status := c.nodes[0].manager.Status()[0]; !status.Degraded() || status.LossesSurvived != 0 {
			t.Fatalf("one store is not reported as degraded: %+v", status)
		}
		for range 3 {
			c.add(true)
		}
		c.eventually("four full members", func() bool {
			return c.nodes[0].manager.Status()[0].Ensemble.FullMembers() == 4 || c.owner(0).manager.Status()[0].Ensemble.FullMembers() == 4
		})
		acknowledged = append(acknowledged, c.put(0, "together"))
		c.check(0, acknowledged)
	})
}

// A node that prepared again, lost the partition and takes it back must not reuse a ballot that it has held: a read
// quorum of promises need not include the number that it had reached.
func TestBallotsAreNeverReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		c.put(0, "a")
		owner := c.owner(0)
		first, _ := owner.manager.ownership(0)
		for _, node := range c.nodes {
			if node != owner {
				c.loseDisk(node)
				break
			}
		}
		c.eventually("the owner has prepared again, twice", func() bool { return first.view.Load().ballot.Version == 3 })
		held := first.view.Load().ballot
		first.release(t.Context())
		c.eventually("the node owns again", func() bool {
			second, present := owner.manager.ownership(0)
			return present && second != first && second.serving.Load()
		})
		second, _ := owner.manager.ownership(0)
		if taken := second.view.Load().ballot; !held.Below(taken) || taken.Owner == held.Owner {
			t.Fatalf("held %s, took %s", held, taken)
		}
	})
}

// A node that owns nothing finds the owner, and the next one after the owner died.
func TestLocatorFollowsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7)
		for range 4 {
			c.add(true)
		}
		asking := c.add(false)
		defer c.stopAll()
		c.put(0, "a")
		found := func() bool {
			owner := c.owner(0)
			address, ok := asking.manager.Owner(0)
			return ok && address == owner.address.String()
		}
		c.eventually("the owner is found", found)
		c.kill(c.owner(0))
		c.put(0, "b")
		c.eventually("the next owner is found", found)
	})
}

// TestLocatorFindsTheOwnerWhereAllStoresThatItKnowsAreGone: the key-value service is down, and each member has lost its
// disk since the asking node read the ensembles.
func TestLocatorFindsTheOwnerWhereAllStoresThatItKnowsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const partitions = 6
		c := newCluster(t, 7)
		c.ledger = settings.Ledger{Partitions: partitions, Replicas: 3, WriteQuorum: 2, MembersDecide: true}
		for range 4 {
			c.add(true)
		}
		asking := c.add(false)
		defer c.stopAll()
		old := map[PartitionID]protocol.Ensemble{}
		for partition := range PartitionID(partitions) {
			c.put(partition, "a")
			c.eventually("the ensemble is known", func() bool {
				known := false
				old[partition], known = asking.manager.directory.ensemble(partition)
				return known
			})
		}
		time.Sleep(time.Minute)
		c.keyValue.set(func() { c.keyValue.down = true })
		for _, node := range c.nodes[:4] {
			c.loseDisk(node)
			time.Sleep(3 * c.timing.Replace)
		}
		directory := asking.manager.directory
		for partition := range PartitionID(partitions) {
			c.put(partition, "b")
			directory.mutex.Lock()
			directory.ensembles[partition] = old[partition]
			directory.mutex.Unlock()
			asking.manager.hints.set(partition, "")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if got, want := asking.manager.findOwner(ctx, partition), c.owner(partition).id; got != want {
				t.Errorf("the owner of partition %d is reported as %q, it is %q", partition, got, want)
			}
			cancel()
		}
	})
}
