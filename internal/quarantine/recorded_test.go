package quarantine

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// rejectMessage has replicas crash under the message until it is rejected.
func rejectMessage(c *cluster, at *node, key Key) {
	for number := range maxEndedReplicas {
		c.runCrashing(at, number, key)
		time.Sleep(200 * time.Millisecond)
	}
	if got := at.Check(key); got != Rejected {
		c.t.Fatalf("the message is %s", got)
	}
}

// restartAll kills all nodes at once and starts them again.
func restartAll(c *cluster) {
	for _, member := range c.nodes {
		c.kill(member)
	}
	for _, member := range c.nodes {
		c.start(member)
	}
	c.agree()
}

// TestRejectionIsRecordedOnce: one node writes it, whoever learns of it.
func TestRejectionIsRecordedOnce(t *testing.T) {
	inCluster(t, 6, 8, func(t *testing.T, c *cluster) {
		rejectMessage(c, c.nodes[0], keyOf("a"))
		time.Sleep(10 * time.Second)
		if written := c.store.Len(); written != 1 {
			t.Errorf("%d records", written)
		}
	})
}

// TestRejectionIsRecordedOnceTheServiceAnswers: the service may be down when a message is rejected.
func TestRejectionIsRecordedOnceTheServiceAnswers(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.store.setDown(true)
		rejectMessage(c, c.nodes[0], key)
		time.Sleep(10 * time.Second)
		c.store.setDown(false)
		time.Sleep(2*refreshInterval + time.Second)
		restartAll(c)
		time.Sleep(3 * time.Second)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

// TestRecordsAreReadOnceTheServiceAnswers: the service may be down when all nodes start.
func TestRecordsAreReadOnceTheServiceAnswers(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		rejectMessage(c, c.nodes[0], key)
		time.Sleep(time.Second)
		c.store.setDown(true)
		restartAll(c)
		time.Sleep(20 * time.Second)
		c.store.setDown(false)
		time.Sleep(refreshInterval + time.Second)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

// TestRecordsAreReadByOneNodeOfAZone: where all nodes of a fleet start, the others learn from it.
func TestRecordsAreReadByOneNodeOfAZone(t *testing.T) {
	inCluster(t, 30, 8, func(t *testing.T, c *cluster) {
		time.Sleep(10 * time.Second)
		if c.store.listed != 1 {
			t.Errorf("%d listings by 30 nodes of one zone", c.store.listed)
		}
		for number, member := range c.nodes {
			if !member.isComplete() {
				t.Errorf("node %d is not complete", number)
			}
		}
	})
}

// TestRestartedNodeLearnsFromTheOthers: a node that starts alone reads nothing, and knows what was rejected before the others started.
func TestRestartedNodeLearnsFromTheOthers(t *testing.T) {
	inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		rejectMessage(c, c.nodes[0], key)
		time.Sleep(time.Second)
		restartAll(c)
		time.Sleep(5 * time.Second)
		listed := c.store.listed
		c.kill(c.nodes[2])
		c.start(c.nodes[2])
		c.agree()
		time.Sleep(500 * time.Millisecond)
		if got := c.nodes[2].Check(key); got != Rejected || c.store.listed != listed {
			t.Errorf("%s after %d further listings", got, c.store.listed-listed)
		}
	})
}

// TestRecalledMessageIsForgotten: as long after its recall as one whose replicas ended since.
func TestRecalledMessageIsForgotten(t *testing.T) {
	inCluster(t, 2, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		rejectMessage(c, c.nodes[0], key)
		time.Sleep(time.Second)
		restartAll(c)
		time.Sleep(retention + 2*refreshInterval + 3*time.Second)
		if got := c.nodes[0].Check(key); got != Allowed {
			t.Errorf("%s", got)
		}
	})
}

// TestLeavingNodeWritesNoRecord: it counts as no keeper, and nobody else lives.
func TestLeavingNodeWritesNoRecord(t *testing.T) {
	inCluster(t, 1, 8, func(t *testing.T, c *cluster) {
		at, key := c.nodes[0], keyOf("a")
		rejectMessage(c, at, key)
		at.view.Set(&membership.View{Self: at.id, Members: []membership.Member{c.member(at, membership.Leaving)}})
		at.mutex.Lock()
		at.rejected[key] = recordMissing
		at.mutex.Unlock()
		if missing := at.missingRecords(); len(missing) != 0 {
			t.Errorf("%d records are to be written", len(missing))
		}
	})
}
