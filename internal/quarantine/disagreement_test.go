package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// keyKeptElsewhere returns a key whose first keeper is a node other than the given one.
func (c *cluster) keyKeptElsewhere(than *node) Key {
	for number := range 100 {
		if key := keyOf(fmt.Sprint("placed-", number)); keepers(c.nodes[0].view.View(), key)[0].ID != than.id {
			return key
		}
	}
	c.t.Fatal("no key is kept by another node")
	return Key{}
}

// TestRunThatTheKeeperAllowsIsNotCutOff guards against an item that never runs because its owner and its keeper
// disagree. After all storage nodes were killed, the new owner knew of fewer incidents than the keeper, which knew that
// another message explained them. The keeper allowed each run, and the owner cut it off as that of a suspect before
// anything was sent: 150 runs within half a minute, each with "request was not sent: context canceled, message is
// suspected of crashing replicas".
func TestRunThatTheKeeperAllowsIsNotCutOff(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		owner := c.nodes[0]
		item, cause := c.keyKeptElsewhere(owner), keyOf("cause")
		keeper := c.nodeOf(item, 0)
		// Each node lacks an incident that the other knows. With both incidents, another message explains the end under
		// the item.
		now := time.Now()
		keeper.mutex.Lock()
		keeper.evidence.add(1, now.Add(-2*time.Second), cause, suspect{runDuration: 50 * time.Millisecond})
		keeper.evidence.add(1, now.Add(-2*time.Second), item, suspect{runDuration: time.Second})
		keeper.evidence.add(2, now.Add(-time.Second), cause, suspect{runDuration: 50 * time.Millisecond})
		keeper.mutex.Unlock()
		owner.mutex.Lock()
		owner.evidence.add(1, now.Add(-2*time.Second), item, suspect{runDuration: time.Second})
		owner.mutex.Unlock()
		wantVerdict(t, owner, item, Apart)
		wantVerdict(t, keeper, item, Allowed)
		permit := owner.Admit(t.Context(), item)
		defer permit.Release()
		if permit.Verdict() != Allowed {
			t.Fatalf("verdict of the keeper is %s, want allowed", permit.Verdict())
		}
		cut := 0
		run := permit.Begin(c.handle(owner, 0), func() { cut++ })
		if cut != 0 {
			t.Error("the run that the keeper allowed was cut off when it began")
		}
		// Evidence that arrives after the permit does cut the run off.
		keeper.crashReplicaDuring(c, item, 1)
		time.Sleep(50 * time.Millisecond)
		if cut != 1 {
			t.Errorf("the run was cut off %d times after another replica ended under the message, want 1", cut)
		}
		run.End(t.Context(), Other)
	})
}

// crashReplicaDuring ends the replica with the given number during a run of the message at this node, without asking
// for a permit.
func (n *node) crashReplicaDuring(c *cluster, message Key, number int) {
	handle := c.handle(n, number)
	admitted := &permit{service: n.Service, key: message, verdict: Allowed}
	run := admitted.Begin(handle, nil)
	c.machines.end(handle.Info().Address)
	run.End(c.t.Context(), Lost)
}

// TestRecalledEndGivesWayToWhatWasSeen guards against verdicts that differ between nodes. A new owner recalled from its
// log that replicas had ended under its items, before it learned what other nodes had observed, and then kept its own
// assumed times and run lengths: it recorded 20.7 s and a run of 3 s for a replica that ended at 19.0 s after a run
// of 4.415 s. The owner and the nodes that had observed the ends disagreed for ten minutes.
func TestRecalledEndGivesWayToWhatWasSeen(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		observer, owner := c.nodes[0], c.nodes[1]
		cause, bystander := keyOf("cause"), keyOf("bystander")
		c.cut(owner)
		now := time.Now()
		observer.mutex.Lock()
		observer.evidence.add(1, now.Add(-300*time.Millisecond), cause, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true})
		observer.evidence.add(1, now.Add(-300*time.Millisecond), bystander, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true})
		observer.evidence.add(2, now.Add(-100*time.Millisecond), cause, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true, granted: true})
		observer.mutex.Unlock()
		owner.Recall(cause, recordedEnds(1, 2), 0)
		owner.Recall(bystander, recordedEnds(1), 0)
		c.cut()
		time.Sleep(10 * refreshInterval)
		for _, member := range c.nodes {
			wantVerdict(t, member, cause, Rejected)
			wantVerdict(t, member, bystander, Allowed)
		}
	})
}

// killHolder has a message under which one replica has ended run under a grant, kills the node that holds the grant,
// and returns the replica of that run.
func (c *cluster) killHolder(key Key) *replica.Handle {
	c.nodes[0].Recall(key, recordedEnds(1), 0)
	time.Sleep(50 * time.Millisecond)
	holder := c.nodeOf(key, 3)
	permit := holder.Admit(c.t.Context(), key)
	if permit.Verdict() != Apart {
		c.t.Fatalf("verdict at the holder is %s, want apart", permit.Verdict())
	}
	handle := c.handle(holder, 2)
	permit.Begin(handle, nil)
	time.Sleep(50 * time.Millisecond)
	c.kill(holder)
	c.agree()
	return handle
}

// TestGrantThatLapsesIsNoEndOfALivingReplica guards items against rejection by an end that did not happen. The keeper
// of a grant was paused for 2.5 s, while the owner's five renewals failed. When it continued it counted the grant,
// which had lapsed at 17.50 s, as the end of a replica, although the replica worked until 19.0 s; at 22.79 s the item
// was rejected with three ends instead of two, and held back.
func TestGrantThatLapsesIsNoEndOfALivingReplica(t *testing.T) {
	for name, test := range map[string]struct {
		replicaEnds bool
		want        int
	}{
		"the replica lives":     {false, 1},
		"the replica has ended": {true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
				key := keyOf("a")
				handle := c.killHolder(key)
				if test.replicaEnds {
					c.machines.end(handle.Info().Address)
				}
				time.Sleep(2*grantDuration + abortedRunGrace)
				other := c.nodeOf(key, 2)
				next := other.Admit(t.Context(), key)
				next.Release()
				other.mutex.Lock()
				defer other.mutex.Unlock()
				if seen, unseen := other.evidence.endCount(key), other.evidence.unseenEndCount(key); seen != 1 || unseen != test.want-1 {
					t.Errorf("%d ends are counted and %d are unseen, want 1 counted and %d in all", seen, unseen, test.want)
				}
			})
		})
	}
}

// TestGrantOfAMessageThatIsNoLongerSuspectedLapsesUnseen covers a run that continues under its grant after another
// message was found to explain the end for which its message was suspected. The keeper no longer renews the grant then,
// and must not inquire into the replica when it lapses.
func TestGrantOfAMessageThatIsNoLongerSuspectedLapsesUnseen(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		holder := c.nodeOf(key, 3)
		holder.crashReplicaDuring(c, key, 0)
		time.Sleep(50 * time.Millisecond)
		permit := holder.Admit(t.Context(), key)
		run := permit.Begin(c.handle(holder, 1), nil)
		time.Sleep(50 * time.Millisecond)
		dialsBefore := c.machines.dials
		for _, member := range c.nodes {
			member.clearMessage(key)
		}
		time.Sleep(2*grantDuration + refreshInterval)
		if c.machines.dials != dialsBefore {
			t.Errorf("%d connections to the replica were attempted, want none", c.machines.dials-dialsBefore)
		}
		run.End(t.Context(), Other)
		permit.Release()
	})
}

// TestEndOfALapsedRunIsNotStrong: the keeper finds that the replica of a lapsed run has ended, but the progress of the
// run is not known. Two such ends must not reject a message.
func TestEndOfALapsedRunIsNotStrong(t *testing.T) {
	inCluster(t, 5, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.machines.end(c.killHolder(key).Info().Address)
		// The next request for a grant finds that the old one has lapsed; without one the keeper would find it a little
		// later.
		time.Sleep(grantDuration)
		c.nodeOf(key, 2).Admit(t.Context(), key).Release()
		time.Sleep(500 * time.Millisecond)
		keeper := c.nodeOf(key, 0)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		counted, unseen, strong := keeper.evidence.endCount(key), keeper.evidence.unseenEndCount(key), keeper.evidence.strongIncidents(key)
		if counted != 1 || unseen != 1 || len(strong) != 0 {
			t.Errorf("%d ends are counted, %d are unseen and %d are strong, want 1, 1 and 0", counted, unseen, len(strong))
		}
	})
}
