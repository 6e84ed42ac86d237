package ledger

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

func TestSnapshotsBoundTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 10)
		c.timing.SnapshotRecords = 10
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		var acknowledged []string
		for i := range 100 {
			acknowledged = append(acknowledged, c.put(0, fmt.Sprint("value-", i)))
			time.Sleep(100 * time.Millisecond)
		}
		c.eventually("all stores have trimmed", func() bool {
			for _, holding := range c.owner(0).manager.Status()[0].Holdings {
				if holding.First < 50 {
					return false
				}
			}
			return true
		})
		c.loseDisk(c.nodes[0])
		c.loseDisk(c.nodes[1])
		c.eventually("the ensemble is whole", func() bool {
			status := c.owner(0).manager.Status()[0]
			return status.Ensemble.FullMembers() == 4 && status.Ensemble.Version >= 5
		})
		for _, node := range c.nodes {
			c.stop(node)
		}
		for _, node := range c.nodes {
			c.start(node)
		}
		c.check(0, acknowledged)
	})
}

func TestPausedOwnerStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 11)
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "before")}
		paused := c.owner(0)
		machine := paused.register(0)
		c.network.Pause(paused.address)
		late := make(chan error, 1)
		go func() { late <- machine.put(context.Background(), "late") }()
		c.view.change(paused.id, func(member *membership.Member) { member.State = membership.Dead })
		others := c.nodes
		c.nodes = nil
		for _, node := range others {
			if node != paused {
				c.nodes = append(c.nodes, node)
			}
		}
		acknowledged = append(acknowledged, c.put(0, "meanwhile"))
		c.network.Resume(paused.address)
		if err := <-late; outcome.Of(err) != outcome.Indeterminate {
			t.Fatalf("append of the paused owner: %v", err)
		}
		c.eventually("the paused owner stops", func() bool { return !machine.serves() })
		c.nodes = others
		c.check(0, acknowledged)
	})
}

func TestFullStoresRefuseNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		setFree := func(free uint64) {
			for _, node := range c.nodes[:2] {
				node.mutex.Lock()
				node.free = free
				node.mutex.Unlock()
			}
		}
		setFree(100 << 20)
		machine := c.owner(0).register(0)
		c.eventually("the owner refuses", func() bool {
			value := fmt.Sprint("while filling ", len(acknowledged))
			err := machine.put(t.Context(), value)
			if err == nil {
				acknowledged = append(acknowledged, value)
				return false
			}
			refused := outcome.As(err)
			if refused.Outcome != outcome.NotRun || refused.Reason != outcome.ReasonStorageFull || refused.RetryAfter == 0 {
				t.Fatalf("refused as %v", err)
			}
			return true
		})
		if ownership, _ := c.owner(0).manager.ownership(0); ownership.HasRoom() {
			t.Error("an owner whose stores are full has room")
		}
		// This append bypasses the register, whose count of positions is wrong afterwards. Nothing is put to partition 1.
		other, _ := c.owner(1).manager.ownership(1)
		if _, err := other.AppendReserved(t.Context(), []Record{{Kind: KindNoOperation}}); err != nil {
			t.Errorf("a record that may use the reserve: %v", err)
		}
		setFree(1 << 40)
		acknowledged = append(acknowledged, c.put(0, "b"))
		c.check(0, acknowledged)
	})
}

func TestLostAnswersOfTheKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 13)
		c.keyValue.loseAnswers = true
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		c.loseDisk(c.nodes[2])
		c.eventually("the ensemble is whole", func() bool {
			status := c.owner(0).manager.Status()[0]
			return status.Ensemble.FullMembers() == 4 && status.Ensemble.Version == 3
		})
		c.check(0, acknowledged)
	})
}

// A node that was cut off while every store that it knew was replaced must find the new ones.
func TestNodeWithOldEnsembleFindsTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 14)
		c.ledger.Partitions = 1
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		cut := c.owner(0)
		c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
			return memory.Conditions{Delay: linkDelay, Cut: from == cut.address || to == cut.address}
		})
		c.view.change(cut.id, func(member *membership.Member) { member.State = membership.Dead })
		all := c.nodes
		c.nodes = nil
		for _, node := range all {
			if node != cut {
				c.nodes = append(c.nodes, node)
			}
		}
		for _, node := range c.nodes {
			acknowledged = append(acknowledged, c.put(0, "with "+string(node.id)))
			c.loseDisk(node)
			c.eventually("all members are full and known", func() bool {
				ensemble := c.owner(0).manager.Status()[0].Ensemble
				for _, member := range ensemble.Members {
					if held, found := c.view.find(member.Node); !found || held.StoreIncarnation != string(member.Store) || held.State != membership.Alive {
						return false
					}
				}
				return ensemble.FullMembers() == 4
			})
		}
		c.network.SetConditions(normalConditions)
		c.view.change(cut.id, func(member *membership.Member) { member.State = membership.Alive })
		c.nodes = all
		c.eventually("the node that was cut off owns again", func() bool { return c.owner(0) == cut })
		c.check(0, acknowledged)
	})
}

// A store that comes back after it was replaced by a spare drops the partition.
func TestReplacedStoreForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 15)
		c.ledger.Partitions = 1
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		ensemble := c.owner(0).manager.Status()[0].Ensemble
		var away *testNode
		for _, node := range c.nodes {
			if _, member := ensemble.Find(node.store.ID()); member && node != c.owner(0) {
				away = node
			}
		}
		c.stop(away)
		c.view.change(away.id, func(member *membership.Member) { member.State = membership.Dead })
		c.eventually("a spare has its place", func() bool {
			changed := c.owner(0).manager.Status()[0].Ensemble
			_, member := changed.Find(away.store.ID())
			return !member && changed.FullMembers() == 4
		})
		c.start(away)
		c.eventually("the store forgets", func() bool {
			response, err := away.store.Read(t.Context(), &ledgerpb.ReadRequest{Store: string(away.store.ID()), From: 1, To: 1})
			return err == nil && response.Status == ledgerpb.Status_STATUS_NOT_FOUND
		})
		c.check(0, acknowledged)
	})
}

// A suspected owner that is healthy keeps its partition; one that does not answer loses it.
func TestSuspectedOwnerIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		for range 5 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		owner := c.owner(0)
		first, _ := owner.manager.ownership(0)
		c.view.change(owner.id, func(member *membership.Member) { member.State = membership.Suspect })
		time.Sleep(10 * time.Second)
		if kept, _ := owner.manager.ownership(0); kept != first || !kept.serving.Load() {
			t.Fatal("a healthy owner lost its partition because it was suspected")
		}
		c.stop(owner)
		acknowledged = append(acknowledged, c.put(0, "b"))
		c.check(0, acknowledged)
	})
}

// TestOutageDrawsFewCalls checks that a disk that must be replaced causes calls at a bounded rate while the key-value
// service is down.
func TestOutageDrawsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 31)
		for range 4 {
			c.add(true)
		}
		defer c.stopAll()
		acknowledged := []string{c.put(0, "a")}
		c.keyValue.set(func() { c.keyValue.down = true })
		c.loseDisk(c.nodes[2])
		time.Sleep(5 * time.Second)
		c.keyValue.set(func() { c.keyValue.calls = 0 })
		const outage = 10
		time.Sleep(outage * time.Second)
		c.keyValue.set(func() {
			if perNode := c.keyValue.calls / len(c.nodes); perNode > 4*outage {
				t.Errorf("%d calls a node in %d s of an outage", perNode, outage)
			}
			c.keyValue.down = false
		})
		c.eventually("the ensemble is whole", func() bool { return c.owner(0).manager.Status()[0].Ensemble.FullMembers() == 4 })
		c.check(0, acknowledged)
	})
}
