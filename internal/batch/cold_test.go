package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// switchedLimiter admits while it is open.
type switchedLimiter struct{ open, calls atomic.Int64 }

func (s *switchedLimiter) Take(*replica.Handle) bool {
	s.calls.Add(1)
	return s.open.Load() > 0
}

// TestItemsWaitForWarmReplicas checks that nothing is sent while the limiter refuses, and that the items run once it admits.
func TestItemsWaitForWarmReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &switchedLimiter{}
		owner := startOwner(t, singleReplica(slowReplica(2, 10*time.Millisecond)))
		owner.service.options.ColdStarts = limiter
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(2 * time.Second)
		if sent := countPosts(owner); sent != 0 || limiter.calls.Load() == 0 {
			t.Errorf("%d items were sent, the limiter was asked %d times", sent, limiter.calls.Load())
		}
		limiter.open.Store(1)
		owner.results(t, "j", 1, 5*time.Second)
		owner.stop()
	})
}

// TestFurtherLeaseCountsAtAColdReplica checks that a run whose replica has turned cold gets another lease there only if the replica
// can take another request.
func TestFurtherLeaseCountsAtAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &switchedLimiter{}
		limiter.open.Store(1)
		owner := startOwner(t, singleReplica(slowReplica(50, 100*time.Millisecond)))
		owner.service.options.ColdStarts = limiter
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(300 * time.Millisecond)
		limiter.open.Store(0)
		time.Sleep(4 * time.Second)
		if sent := countPosts(owner); sent != 1 {
			t.Errorf("%d leases were started, want the first one only", sent)
		}
		limiter.open.Store(1)
		owner.results(t, "j", 1, 20*time.Second)
		if sent, asked := countPosts(owner), limiter.calls.Load(); int(asked) < sent {
			t.Errorf("%d leases were started, the limiter was asked %d times", sent, asked)
		}
		owner.stop()
	})
}

// countedLimiter admits as many sends as are left.
type countedLimiter struct{ left atomic.Int64 }

func (c *countedLimiter) Take(*replica.Handle) bool { return c.left.Add(-1) >= 0 }

// waitingRegister suspects all messages and delays each permit.
type waitingRegister struct {
	*countingRegister
	wait time.Duration
}

func (*waitingRegister) Check(quarantine.Key, ...quarantine.Key) quarantine.Verdict {
	return quarantine.Apart
}

func (w *waitingRegister) CheckItem(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	return w.Check(key)
}

func (w *waitingRegister) AdmitItem(_ context.Context, key quarantine.Key, _ ...quarantine.Key) quarantine.Permit {
	time.Sleep(w.wait)
	return &countingPermit{register: w.countingRegister, key: key, verdict: quarantine.Apart}
}

// TestItemThatWaitedForItsLeaveIsAdmittedAgain guards a cold replica against receiving an item that it admitted before a long wait
// for the permit together with items that it admitted since.
func TestItemThatWaitedForItsLeaveIsAdmittedAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		wait time.Duration
		cold bool
		sent int
	}{
		{"cold, at once", admissionValidFor, true, 1},
		{"cold, late", admissionValidFor + time.Millisecond, true, 0},
		{"warm, late", admissionValidFor + time.Millisecond, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := &countedLimiter{}
				limiter.left.Store(1)
				register := &waitingRegister{newCountingRegister(1), test.wait}
				scripts := map[string]replicatest.Script{}
				for _, id := range []string{"a", "b", "c", "d"} {
					scripts[id] = slowReplica(2, 10*time.Millisecond)
				}
				owner := startOwnerWithRegister(t, register, scripts)
				owner.service.options.ColdStarts = limiter
				for handle := range owner.service.directory.View().All() {
					handle.SetColdBounded(test.cold)
					handle.SetColdUntil(time.Now().Add(time.Minute))
					handle.SetColdPass(replica.NewColdPass(10, time.Now().Add(time.Minute)))
				}
				owner.mustSubmit(t, testSubmission("j", 1))
				time.Sleep(2 * time.Second)
				if sent := countPosts(owner); sent != test.sent {
					t.Errorf("%d items were sent, want %d", sent, test.sent)
				}
				limiter.left.Store(100)
				owner.results(t, "j", 1, 10*time.Second)
				owner.stop()
			})
		})
	}
}

// TestSuspectedItemWithoutAReplicaPauses guards against choosing a replica for a suspected item at each wake-up: the choice ranks
// all replicas, and the dispatcher wakes up at the end of each run.
func TestSuspectedItemWithoutAReplicaPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &switchedLimiter{}
		owner := startOwnerWithRegister(t, &waitingRegister{newCountingRegister(1), 0}, singleReplica(slowReplica(2, 10*time.Millisecond)))
		owner.service.options.ColdStarts = limiter
		owner.mustSubmit(t, testSubmission("j", 1))
		const span = 2 * time.Second
		for began := time.Now(); time.Since(began) < span; time.Sleep(10 * time.Millisecond) {
			owner.wake()
		}
		if asked, most := limiter.calls.Load(), int64(span/suspectedRetryDelay)+1; asked == 0 || asked > most {
			t.Errorf("a replica was chosen %d times in %s, want 1 to %d", asked, span, most)
		}
		limiter.open.Store(1)
		owner.results(t, "j", 1, 5*time.Second)
		owner.stop()
	})
}
