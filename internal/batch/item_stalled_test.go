package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestStalledItemsAreReported: an accepted item was on no replica for twenty seconds, and no line or figure said so, nor what it waited for.
func TestStalledItemsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		bound int
		want  stallReason
	}{
		"rejected":  {1, stalledHeldBack},
		"suspected": {2, stalledSuspected},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := ownWith(t, newCountingRegister(test.bound), crashOn("/p/j-0", "a"))
				owner.mustSubmit(t, batchOf("j", 2))
				owner.results(t, "j", 1, 5*time.Second)
				if found := owner.stalled(); len(found.counts) != 0 {
					t.Errorf("stalled at the start: %v", found.counts)
				}
				owner.pauseItem(itemKey{job: "j"}, 2*stalledAfter)
				time.Sleep(stalledAfter + time.Second)
				found := owner.stalled()
				if found.counts[test.want] != 1 || len(found.counts) != 1 || found.longest.key.number != 0 {
					t.Errorf("stalled: %v, longest %v", found.counts, found.longest.key)
				}
				if series := testutil.CollectAndCount(owner.service); series != len(stallReasons)+1 {
					t.Errorf("%d series", series)
				}
				owner.end()
			})
		})
	}
}

// pauseItem keeps an item from being sent again for a while.
func (o *ownerUnderTest) pauseItem(key itemKey, length time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureRun(key).notBefore = o.elapsed() + length
}

// TestItemAtAReplicaIsNotMissed: an item that was sent, and of which nothing comes, is told apart from one that waits.
func TestItemAtAReplicaIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(replicatest.Hang()))
		owner.mustSubmit(t, batchOf("j", 1))
		time.Sleep(stalledAfter + time.Second/2)
		if found := owner.stalled(); found.counts[stalledAtReplica] != 1 {
			t.Errorf("stalled: %v", found.counts)
		}
		owner.end()
	})
}
