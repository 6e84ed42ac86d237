package ledger

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// cutOff cuts the given nodes off from all others; the membership view does not change.
func (c *cluster) cutOff(nodes []*testNode) {
	apart := func(address netip.AddrPort) bool {
		return slices.ContainsFunc(nodes, func(node *testNode) bool { return node.address == address })
	}
	c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: linkDelay, Cut: apart(from) != apart(to)}
	})
}

// putFor appends values for the given time and returns the acknowledged ones.
func (c *cluster) putFor(name string, span time.Duration) (acknowledged []string) {
	for began := time.Now(); time.Since(began) < span; time.Sleep(200 * time.Millisecond) {
		acknowledged = append(acknowledged, c.put(0, fmt.Sprintf("%s-%s", name, time.Since(began))))
	}
	return acknowledged
}

// TestUnresponsiveStoresAreNotAddedAgain: two stores were cut off, replaced, and are spares again. Then they are cut off
// together with two members, as if with their zone, while the membership considers all four alive. These four must not
// replace one another in the ensemble repeatedly, which would leave it two members short for as long as it goes on.
func TestUnresponsiveStoresAreNotAddedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.ledger = settings.Ledger{Partitions: 1, Replicas: 5, WriteQuorum: 3, MembersDecide: true}
		c.timing.Replace, c.timing.Request, c.timing.Check, c.timing.ChangeRetry = 2*time.Second, time.Second, 100*time.Millisecond, 120*time.Millisecond
		for range 9 {
			c.add(true)
		}
		acknowledged := c.putFor("before", 2*time.Second)
		owner := c.owner(0)
		members, _ := c.membersAndSpares(owner)
		first := members[:2]
		c.cutOff(first)
		acknowledged = append(acknowledged, c.putFor("first", 6*time.Second)...)
		c.cutOff(nil)
		acknowledged = append(acknowledged, c.putFor("between", 3*time.Second)...)
		members, _ = c.membersAndSpares(owner)
		lost := append(slices.Clone(members[:2]), first...)
		before, _ := owner.manager.directory.ensemble(0)
		c.cutOff(lost)
		acknowledged = append(acknowledged, c.putFor("second", 12*time.Second)...)
		after, _ := owner.manager.directory.ensemble(0)
		// Two other stores are added and promoted: four changes.
		if changes := after.Version - before.Version; changes > 4 {
			t.Errorf("%d changes of the ensemble in 12 s, want 4 at most", changes)
		}
		if after.FullMembers() != 5 || slices.ContainsFunc(lost, func(node *testNode) bool { return isMember(after, node) }) {
			t.Errorf("the ensemble is not complete without the stores that do not answer: %+v", after.Members)
		}
		c.check(0, acknowledged)
		c.stopAll()
	})
}

// membersAndSpares returns the members of partition 0 other than the owner, and the nodes that are not members.
func (c *cluster) membersAndSpares(owner *testNode) (members, spares []*testNode) {
	ensemble, _ := owner.manager.directory.ensemble(0)
	for _, node := range c.nodes {
		switch {
		case node == owner:
		case isMember(ensemble, node):
			members = append(members, node)
		default:
			spares = append(spares, node)
		}
	}
	return members, spares
}

func isMember(ensemble protocol.Ensemble, node *testNode) bool {
	return slices.ContainsFunc(ensemble.Members, func(member protocol.Member) bool { return member.Node == string(node.id) })
}
