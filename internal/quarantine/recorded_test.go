package quarantine

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// rejectMessage crashes replicas under the message until it is rejected.
func rejectMessage(c *cluster, member *node, key Key) {
	for number := range maxEndedReplicas {
		c.runCrashing(member, number, key)
		time.Sleep(200 * time.Millisecond)
	}
	if got := member.Check(key); got != Rejected {
		c.t.Fatalf("verdict is %s, want rejected", got)
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

// TestRejectionIsRecordedOnce: only one node writes the record of a rejection, whichever nodes learn of it.
func TestRejectionIsRecordedOnce(t *testing.T) {
	inCluster(t, 6, 8, func(t *testing.T, c *cluster) {
		rejectMessage(c, c.nodes[0], keyOf("a"))
		time.Sleep(10 * time.Second)
		if written := c.store.Len(); written != 1 {
			t.Errorf("%d records were written, want 1", written)
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

// TestRecordsAreReadByOneNodeOfAZone: when all nodes of a fleet start, one node of a zone reads the records and the
// others learn from it.
func TestRecordsAreReadByOneNodeOfAZone(t *testing.T) {
	inCluster(t, 30, 8, func(t *testing.T, c *cluster) {
		time.Sleep(10 * time.Second)
		if c.store.listed != 1 {
			t.Errorf("30 nodes of one zone listed the records %d times, want 1", c.store.listed)
		}
		for number, member := range c.nodes {
			if !member.isComplete() {
				t.Errorf("node %d does not know which messages were rejected", number)
			}
		}
	})
}

// TestRestartedNodeLearnsFromTheOthers: a single node that restarts does not read the records. It learns from the
// others what was rejected before they started.
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
			t.Errorf("verdict is %s after %d more listings, want rejected after none", got, c.store.listed-listed)
		}
	})
}

// TestRecalledMessageIsForgotten: a recalled rejection expires after retention, like one whose replicas ended at the
// time of the recall.
func TestRecalledMessageIsForgotten(t *testing.T) {
	inCluster(t, 2, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		rejectMessage(c, c.nodes[0], key)
		time.Sleep(time.Second)
		restartAll(c)
		time.Sleep(retention + 2*refreshInterval + 3*time.Second)
		if got := c.nodes[0].Check(key); got != Allowed {
			t.Errorf("verdict is %s, want allowed", got)
		}
	})
}

// TestLeavingNodeWritesNoRecord: a leaving node is not a keeper, even if there is no other live node.
func TestLeavingNodeWritesNoRecord(t *testing.T) {
	inCluster(t, 1, 8, func(t *testing.T, c *cluster) {
		member, key := c.nodes[0], keyOf("a")
		rejectMessage(c, member, key)
		member.view.Set(&membership.View{Self: member.id, Members: []membership.Member{c.member(member, membership.Leaving)}})
		member.mutex.Lock()
		member.rejected[key] = recordMissing
		member.mutex.Unlock()
		if missing := member.missingRecords(); len(missing) != 0 {
			t.Errorf("%d records are missing, want none", len(missing))
		}
	})
}

// TestRecordOfARejectionThatIsTakenBackIsDeleted guards against a rejection that comes back after a restart of all
// nodes, although another message was found to explain the ends.
func TestRecordOfARejectionThatIsTakenBackIsDeleted(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after an outage of the service": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
				key := keyOf("a")
				rejectMessage(c, c.nodes[0], key)
				time.Sleep(time.Second)
				c.store.setDown(down > 0)
				c.nodes[1].clearMessage(key)
				time.Sleep(down)
				c.store.setDown(false)
				time.Sleep(2 * refreshInterval)
				restartAll(c)
				time.Sleep(3 * time.Second)
				for _, member := range c.nodes {
					wantVerdict(t, member, key, Allowed)
				}
			})
		})
	}
}
