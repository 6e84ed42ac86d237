package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// keyKeptElsewhere returns a key whose first keeper is another node than the given one.
func (c *cluster) keyKeptElsewhere(than *node) Key {
	for number := range 100 {
		if key := keyOf(fmt.Sprint("placed-", number)); keepers(c.nodes[0].view.View(), key)[0].ID != than.id {
			return key
		}
	}
	c.t.Fatal("each message is kept by the same node")
	return Key{}
}

// TestRunThatTheKeeperAllowsIsNotCutOff: an accepted item was begun 150 times in half a minute, each run cut off before anything was sent, to the end of
// the day: "item_not_done begins=150 error=request was not sent: context canceled, message is suspected of crashing replicas". All storage nodes had been killed,
// and the new owner knew the ends of replicas otherwise than the keeper, which knew that another message explains them. The keeper allowed the run, and
// the owner's own register cut it off as that of a suspect, before and after.
func TestRunThatTheKeeperAllowsIsNotCutOff(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		owner := c.nodes[0]
		item, cause := c.keyKeptElsewhere(owner), keyOf("cause")
		keeper := c.nodeOf(item, 0)
		// Each node knows of an end that the other has not been told of yet: with both, another message explains what the item met.
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
			t.Fatalf("the keeper's verdict is %s", permit.Verdict())
		}
		cut := 0
		run := permit.Begin(c.handle(owner, 0), func() { cut++ })
		if cut != 0 {
			t.Error("the run that the keeper allowed is cut off as it begins")
		}
		// What is learned from then on counts.
		keeper.crashReplicaDuring(c, item, 1)
		time.Sleep(50 * time.Millisecond)
		if cut != 1 {
			t.Errorf("cut off %d times after one more replica ended under the message elsewhere", cut)
		}
		run.End(t.Context(), Other)
	})
}

// crashReplicaDuring has the replica of that number end under a run of the message at this node that asked nobody.
func (n *node) crashReplicaDuring(c *cluster, message Key, number int) {
	handle := c.handle(n, number)
	admitted := &permit{service: n.Service, key: message, verdict: Allowed}
	run := admitted.Begin(handle, nil)
	c.machines.end(handle.Info().Address)
	run.End(c.t.Context(), Lost)
}

// TestRecalledEndGivesWayToWhatWasSeen: a new owner read from its log that replicas had ended under its items, before it knew what the other nodes had seen, and went on with
// times and lengths of its own making when it learned better. One replica ended at 19.0 s ("fc2dead71196652f age=0s ran=4.415s seen"); at the owner it had ended at 20.7 s, for one message after
// "ran=3s together=5 recalled". Nodes that had seen the ends judged the messages in one way, that owner in another way, for ten minutes.
func TestRecalledEndGivesWayToWhatWasSeen(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		seer, owner := c.nodes[0], c.nodes[1]
		cause, bystander := keyOf("cause"), keyOf("bystander")
		c.cut(owner)
		now := time.Now()
		seer.mutex.Lock()
		seer.evidence.add(1, now.Add(-300*time.Millisecond), cause, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true})
		seer.evidence.add(1, now.Add(-300*time.Millisecond), bystander, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true})
		seer.evidence.add(2, now.Add(-100*time.Millisecond), cause, suspect{runDuration: 50 * time.Millisecond, reachedKnown: true, granted: true})
		seer.mutex.Unlock()
		owner.Recall(cause, recordedEnds(1, 2), 0)
		owner.Recall(bystander, recordedEnds(1), 0)
		c.cut()
		time.Sleep(10 * refreshInterval)
		for _, at := range c.nodes {
			wantVerdict(t, at, cause, Rejected)
			wantVerdict(t, at, bystander, Allowed)
		}
	})
}

// killHolder has a message under which one replica has ended run apart, kills the node that holds its grant, and returns where the run was.
func (c *cluster) killHolder(key Key) *replica.Handle {
	c.nodes[0].Recall(key, recordedEnds(1), 0)
	time.Sleep(50 * time.Millisecond)
	holder := c.nodeOf(key, 3)
	permit := holder.Admit(c.t.Context(), key)
	if permit.Verdict() != Apart {
		c.t.Fatalf("the holder has no grant: %s", permit.Verdict())
	}
	handle := c.handle(holder, 2)
	permit.Begin(handle, nil)
	time.Sleep(50 * time.Millisecond)
	c.kill(holder)
	c.agree()
	return handle
}

// TestGrantThatLapsesIsNoEndOfALivingReplica: an item was held back to the end of the day for three ended replicas, of which one had lived. The keeper of its grant
// had stood still for 2.5 s while the owner renewed in vain ("grant_not_renewed", five times), and counted the grant as an end when it went on:
// "grant_lapsed" at 17.50 s, "message_rejected ended=3" at 22.79 s. The replica had worked on until 19.0 s.
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
					t.Errorf("%d ends are counted and %d that nobody saw, want %d in all", seen, unseen, test.want)
				}
			})
		})
	}
}

// TestGrantOfAMessageThatIsNoLongerSuspectedLapsesUnseen: a run goes on under its grant when another message is found to explain the end that it was suspected for. From then on
// the keeper renews nothing, and the replica need not be asked.
func TestGrantOfAMessageThatIsNoLongerSuspectedLapsesUnseen(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		holder := c.nodeOf(key, 3)
		holder.crashReplicaDuring(c, key, 0)
		time.Sleep(50 * time.Millisecond)
		permit := holder.Admit(t.Context(), key)
		run := permit.Begin(c.handle(holder, 1), nil)
		time.Sleep(50 * time.Millisecond)
		asked := c.machines.dials
		for _, member := range c.nodes {
			member.clearMessage(key)
		}
		time.Sleep(2*grantDuration + refreshInterval)
		if c.machines.dials != asked {
			t.Errorf("the replica was asked %d times", c.machines.dials-asked)
		}
		run.End(t.Context(), Other)
		permit.Release()
	})
}

// TestEndOfALapsedRunIsNotStrong: the keeper finds that the replica of a lapsed run has ended, but nobody said what the run had made. Two such ends do not reject a message.
func TestEndOfALapsedRunIsNotStrong(t *testing.T) {
	inCluster(t, 5, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.machines.end(c.killHolder(key).Info().Address)
		// The next run that asks finds the grant lapsed; otherwise the keeper does so a while later.
		time.Sleep(grantDuration)
		c.nodeOf(key, 2).Admit(t.Context(), key).Release()
		time.Sleep(500 * time.Millisecond)
		keeper := c.nodeOf(key, 0)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		counted, unseen, strong := keeper.evidence.endCount(key), keeper.evidence.unseenEndCount(key), keeper.evidence.strongIncidents(key)
		if counted != 1 || unseen != 1 || len(strong) != 0 {
			t.Errorf("%d ends are counted and %d that nobody saw, %d of them strong; want 1, 1 and none", counted, unseen, len(strong))
		}
	})
}
