package quarantine

import (
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
)

// TestRunThatWasCutOffMayStillEndItsReplica: a message runs at two replicas when one of them ends. The run at the other
// is cut off, but its replica continues with the message for a moment and ends as well. That end must count.
func TestRunThatWasCutOffMayStillEndItsReplica(t *testing.T) {
	for _, bystander := range []bool{false, true} {
		inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
			key, other := keyOf("a"), keyOf("b")
			cut := make(chan struct{})
			handle := c.handle(c.nodes[1], 1)
			run := c.nodes[1].Admit(t.Context(), key).Begin(handle, func() { close(cut) })
			beside := c.nodes[2].Admit(t.Context(), other).Begin(c.handle(c.nodes[2], 1), nil)
			c.runCrashing(c.nodes[0], 0, key)
			<-cut
			run.End(t.Context(), Aborted)
			time.Sleep(50 * time.Millisecond)
			c.crash(handle, key)
			if bystander {
				beside.End(t.Context(), Lost)
			}
			time.Sleep(time.Second)
			for _, member := range c.nodes {
				wantVerdict(t, member, key, Rejected)
				wantVerdict(t, member, other, Allowed)
			}
		})
	}
}

func TestCallerThatLeftLeavesNoSuspicionBehind(t *testing.T) {
	inCluster(t, 1, 2, func(t *testing.T, c *cluster) {
		member, key := c.nodes[0], keyOf("a")
		handle := c.handle(member, 0)
		member.Admit(t.Context(), key).Begin(handle, nil).End(t.Context(), Aborted)
		time.Sleep(2 * abortedRunGrace)
		c.machines.end(handle.Info().Address)
		member.Admit(t.Context(), keyOf("b")).Begin(handle, nil).End(t.Context(), Lost)
		wantVerdict(t, member, key, Allowed)
		for range 3 * maxAbortedRuns {
			member.Admit(t.Context(), key).Begin(c.handle(member, 1), nil).End(t.Context(), Aborted)
		}
		member.mutex.Lock()
		defer member.mutex.Unlock()
		if member.abortedCount > maxAbortedRuns {
			t.Errorf("%d aborted runs are tracked, more than maxAbortedRuns", member.abortedCount)
		}
	})
}

func TestLongRunsWithProgressDoNotCount(t *testing.T) {
	for name, test := range map[string]struct {
		ran    time.Duration
		ending Ending
		want   Verdict
	}{
		"long run with progress":    {2 * shortRunDuration, Interrupted, Allowed},
		"short run with progress":   {shortRunDuration / 4, Interrupted, Apart},
		"long run without progress": {2 * shortRunDuration, Lost, Apart},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 1, 2, func(t *testing.T, c *cluster) {
				member, key := c.nodes[0], keyOf("a")
				handle := c.handle(member, 0)
				run := member.Admit(t.Context(), key).Begin(handle, nil)
				time.Sleep(test.ran)
				c.machines.end(handle.Info().Address)
				if !run.End(t.Context(), test.ending) {
					t.Error("the replica was not found to have ended")
				}
				wantVerdict(t, member, key, test.want)
			})
		})
	}
}

// TestItemThatWasBrokenOffIsNotBlamedForALaterEnd guards items that are cut off to make room for others: nobody
// observed what became of them, so that the end of their replica counts like a loss.
func TestItemThatWasBrokenOffIsNotBlamedForALaterEnd(t *testing.T) {
	for name, test := range map[string]struct {
		item         bool
		seen, unseen int
	}{
		"item":    {true, 0, 1},
		"request": {false, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 1, 4, func(t *testing.T, c *cluster) {
				member, key := c.nodes[0], keyOf("a")
				admit := member.Admit
				if test.item {
					admit = member.AdmitItem
				}
				handle := c.handle(member, 0)
				admit(t.Context(), key).Begin(handle, nil).End(t.Context(), Aborted)
				time.Sleep(200 * time.Millisecond)
				member.crashReplicaDuring(c, keyOf("b"), 0)
				member.mutex.Lock()
				defer member.mutex.Unlock()
				if seen, unseen := member.evidence.endCount(key), member.evidence.unseenEndCount(key); seen != test.seen || unseen != test.unseen {
					t.Errorf("%d ends are counted and %d are unseen, want %d and %d", seen, unseen, test.seen, test.unseen)
				}
			})
		})
	}
}

// TestAbortedRunCountsOnceItsEndIsDated guards the bound of ended replicas: a node that was paused after it broke a run off reads late of
// the end of the run's replica, and dates it too late at first. The run was forgotten at that first look.
func TestAbortedRunCountsOnceItsEndIsDated(t *testing.T) {
	inCluster(t, 1, 4, func(t *testing.T, c *cluster) {
		member, item := c.nodes[0], keyOf("item")
		handle := c.handle(member, 0)
		member.AdmitItem(t.Context(), item).Begin(handle, nil).End(t.Context(), Aborted)
		endedAt := clock.Now().Add(abortedRunGrace / 2)
		other := newEvidenceStore()
		other.add(handle.Key(), endedAt, keyOf("other"), itemRunWithoutEvents())
		time.Sleep(abortedRunGrace + time.Second)
		for _, read := range []struct {
			at   time.Time
			want int
		}{{clock.Now(), 0}, {endedAt, 1}} {
			member.join(&quarantinepb.Notice{Incidents: other.encodeAll(endedAt)}, read.at)
			member.mutex.Lock()
			if got := member.evidence.unseenEndCount(item); got != read.want {
				t.Errorf("%d ends under the item are known, want %d", got, read.want)
			}
			member.mutex.Unlock()
		}
	})
}
