package quarantine

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/sloelift/sloelift/internal/replica"
)

// inCluster runs check in virtual time with a cluster of the given numbers of nodes and replicas.
func inCluster(t *testing.T, nodes, replicas int, check func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		created := newCluster(t, nodes, replicas)
		defer created.stop()
		check(t, created)
	})
}

func wantVerdict(t *testing.T, member *node, key Key, want Verdict) {
	t.Helper()
	if got := member.Check(key); got != want {
		t.Errorf("verdict at %s is %s, want %s", member.id, got, want)
	}
}

func TestLostRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(c *cluster, handle *replica.Handle)
		ended   bool
		want    Verdict
	}{
		{"the process refuses connections", func(c *cluster, handle *replica.Handle) { c.machines.end(handle.Info().Address) }, true, Apart},
		{"the process accepts connections: only one was lost", func(*cluster, *replica.Handle) {}, false, Allowed},
		{"the link is cut", func(c *cluster, handle *replica.Handle) { c.machines.cut[handle.Info().Address] = true }, false, Allowed},
		{"the replica drains", func(c *cluster, handle *replica.Handle) {
			c.machines.end(handle.Info().Address)
			leaving := *handle.Info()
			leaving.Draining = true
			c.nodes[0].directory.Update([]replica.Info{leaving}, nil)
		}, true, Allowed},
	} {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
				member, key := c.nodes[0], keyOf("a")
				handle := c.handle(member, 0)
				run := member.Admit(t.Context(), key).Begin(handle, nil)
				test.prepare(c, handle)
				if ended := run.End(t.Context(), Lost); ended != test.ended {
					t.Errorf("replica ended: %t, want %t", ended, test.ended)
				}
				wantVerdict(t, member, key, test.want)
				if test.ended && !handle.Avoided(time.Now()) {
					t.Error("the ended replica is not avoided")
				}
			})
		})
	}
}

func TestOneInquiryForAllRunsOfAReplica(t *testing.T) {
	inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		handle := c.handle(member, 0)
		var runs []Run
		for number := range 17 {
			runs = append(runs, member.Admit(t.Context(), keyOf(fmt.Sprint(number))).Begin(handle, nil))
		}
		c.machines.end(handle.Info().Address)
		var lost sync.WaitGroup
		for _, run := range runs {
			lost.Go(func() { run.End(t.Context(), Lost) })
		}
		lost.Wait()
		if c.machines.dials != 1 {
			t.Errorf("%d connections to the replica were attempted, want 1", c.machines.dials)
		}
		for number := range 17 {
			wantVerdict(t, member, keyOf(fmt.Sprint(number)), Apart)
		}
	})
}

func TestOtherNodesKnowSoon(t *testing.T) {
	inCluster(t, 5, 3, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(30 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Apart)
		}
		permit := c.nodes[3].Admit(t.Context(), key)
		permit.Begin(c.handle(c.nodes[3], 1), nil).End(t.Context(), Whole)
		permit.Release()
		time.Sleep(30 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Allowed)
		}
	})
}

func TestNothingIsSentWithoutIncidents(t *testing.T) {
	inCluster(t, 3, 3, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		for number := range 100 {
			member.Admit(t.Context(), keyOf(fmt.Sprint(number))).Begin(c.handle(member, 0), nil).End(t.Context(), Whole)
		}
		time.Sleep(10 * time.Second)
		for _, observer := range c.nodes {
			if sent := testutil.ToFloat64(observer.metrics.notices); sent != 0 {
				t.Errorf("%s sent %v notices, want none", observer.id, sent)
			}
		}
	})
}

func TestRunsElsewhereAreCut(t *testing.T) {
	inCluster(t, 3, 3, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		var cut atomic.Bool
		run := c.nodes[1].Admit(t.Context(), key).Begin(c.handle(c.nodes[1], 1), func() { cut.Store(true) })
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(30 * time.Millisecond)
		if !cut.Load() {
			t.Error("the other run of the message was not cut off")
		}
		run.End(t.Context(), Other)
	})
}

func TestStartedNodeAsksOthers(t *testing.T) {
	inCluster(t, 4, 3, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(30 * time.Millisecond)
		c.runCrashing(c.nodes[1], 1, key)
		time.Sleep(100 * time.Millisecond)
		c.kill(c.nodes[0])
		c.kill(c.nodes[1])
		c.agree()
		time.Sleep(time.Second)
		c.start(c.nodes[0])
		c.start(c.nodes[1])
		c.agree()
		time.Sleep(300 * time.Millisecond)
		wantVerdict(t, c.nodes[0], key, Rejected)
		wantVerdict(t, c.nodes[1], key, Rejected)
	})
}

func TestNodeThatIsCutOff(t *testing.T) {
	// With eight messages the node is the keeper of some.
	for number := range 8 {
		inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
			key := keyOf(fmt.Sprint(number))
			alone := c.nodes[0]
			c.cut(alone)
			c.runCrashing(alone, 0, key)
			if c.runCrashing(alone, 1, key) {
				t.Error("a node that reaches no other sent the message again")
			}
			c.agree()
			if c.runCrashing(alone, 1, key) {
				t.Error("a node that knows of the partition sent the message again")
			}
			for _, member := range c.nodes[1:] {
				wantVerdict(t, member, key, Allowed)
			}
			c.cut()
			c.agree()
			time.Sleep(3 * refreshInterval * time.Duration(len(c.nodes)))
			for _, member := range c.nodes {
				wantVerdict(t, member, key, Apart)
			}
		})
	}
}

func TestHolderThatIsKilledCounts(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(50 * time.Millisecond)
		keeper := keepers(c.nodes[0].view.View(), key)[0].ID
		var holder, other *node
		for _, member := range c.nodes {
			if member.id == keeper {
				continue
			}
			holder, other = member, holder
		}
		if permit := holder.Admit(t.Context(), key); permit.Verdict() != Apart {
			t.Fatalf("verdict at the holder is %s, want apart", permit.Verdict())
		}
		c.kill(holder)
		c.agree()
		time.Sleep(2 * grantDuration)
		permit := other.Admit(t.Context(), key)
		defer permit.Release()
		other.mutex.Lock()
		ended, unseen := other.evidence.endCount(key), other.evidence.unseenEndCount(key)
		other.mutex.Unlock()
		if ended != 1 || unseen != 1 {
			t.Errorf("%d ends are counted and %d are unseen, want 1 and 1", ended, unseen)
		}
	})
}

func TestSuspectsWaitForEachOther(t *testing.T) {
	inCluster(t, 3, 6, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(50 * time.Millisecond)
		var concurrent, maxConcurrent int
		var mutex sync.Mutex
		var all sync.WaitGroup
		for number := range 9 {
			member := c.nodes[number%3]
			all.Go(func() {
				permit := member.Admit(t.Context(), key)
				defer permit.Release()
				if permit.Verdict() != Apart {
					return
				}
				run := permit.Begin(c.handle(member, number%6), nil)
				mutex.Lock()
				concurrent++
				maxConcurrent = max(maxConcurrent, concurrent)
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
				mutex.Lock()
				concurrent--
				mutex.Unlock()
				run.End(t.Context(), Other)
			})
		}
		all.Wait()
		if maxConcurrent != 1 {
			t.Errorf("%d runs of the suspect were under way at once, want 1", maxConcurrent)
		}
	})
}

func TestRecordedEndsAreRecalled(t *testing.T) {
	inCluster(t, 3, 3, func(t *testing.T, c *cluster) {
		key := keyOf("item")
		c.nodes[0].Recall(key, recordedEnds(1, 2), 0)
		wantVerdict(t, c.nodes[0], key, Apart)
		c.nodes[0].Recall(key, recordedEnds(1, 2, 3), 0)
		time.Sleep(50 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

// TestEndFoundJustBeforeAStopIsShared guards the bound of ended replicas: what a node observed last before its planned
// stop must reach the other nodes.
func TestEndFoundJustBeforeAStopIsShared(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		stopping, first, last := c.nodes[0], keyOf("first"), keyOf("last")
		stopping.crashReplicaDuring(c, first, 0)
		// The next notice is not sent before noticeInterval is over.
		time.Sleep(noticeInterval / 5)
		stopping.crashReplicaDuring(c, last, 1)
		stopping.up = false
		stopping.Stop()
		time.Sleep(50 * time.Millisecond)
		stopping.transport.Stop()
		for _, member := range c.nodes[1:] {
			wantVerdict(t, member, first, Apart)
			wantVerdict(t, member, last, Apart)
		}
	})
}
