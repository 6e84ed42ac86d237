package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// switchedLimiter admits while it is open.
type switchedLimiter struct{ open, asked atomic.Int64 }

func (s *switchedLimiter) Take(context.Context, *replica.Handle) bool {
	s.asked.Add(1)
	return s.open.Load() > 0
}

// TestItemsWaitForWarmReplicas: nothing is sent where the limiter refuses, and the items run once it admits.
func TestItemsWaitForWarmReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &switchedLimiter{}
		owner := own(t, only(slowReplica(2, 10*time.Millisecond)))
		owner.service.options.ColdStarts = limiter
		owner.mustSubmit(t, batchOf("j", 1))
		time.Sleep(2 * time.Second)
		if sent := countPosts(owner); sent != 0 || limiter.asked.Load() == 0 {
			t.Errorf("%d items were sent, the limiter was asked %d times", sent, limiter.asked.Load())
		}
		limiter.open.Store(1)
		owner.results(t, "j", 1, 5*time.Second)
		owner.end()
	})
}

// TestFurtherLeaseCountsAtAColdReplica: a run whose replica has turned cold goes on there only where that bears one more request.
func TestFurtherLeaseCountsAtAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &switchedLimiter{}
		limiter.open.Store(1)
		owner := own(t, only(slowReplica(50, 100*time.Millisecond)))
		owner.service.options.ColdStarts = limiter
		owner.mustSubmit(t, batchOf("j", 1))
		time.Sleep(300 * time.Millisecond)
		limiter.open.Store(0)
		time.Sleep(4 * time.Second)
		if sent := countPosts(owner); sent != 1 {
			t.Errorf("%d leases were begun, want the first one", sent)
		}
		limiter.open.Store(1)
		owner.results(t, "j", 1, 20*time.Second)
		if sent, asked := countPosts(owner), limiter.asked.Load(); int(asked) < sent {
			t.Errorf("%d leases were begun, the limiter was asked %d times", sent, asked)
		}
		owner.end()
	})
}
