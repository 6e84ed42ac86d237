package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestWakeupsDoNotPlanEachTime checks that an owner whose items end in quick succession does not plan all items anew at
// each end: that takes its processor from the submissions that it has to accept.
func TestWakeupsDoNotPlanEachTime(t *testing.T) {
	const (
		wakeups = 2000
		// maxPlans is how often the items may be planned within a second: at a fifth of the processor, a plan of 700 items
		// takes 4 ms of a small machine's.
		maxPlans = 50
	)
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 40))
		time.Sleep(time.Second)
		before := owner.plans.Load()
		for range wakeups {
			owner.wake()
			time.Sleep(time.Second / wakeups)
		}
		if planned := owner.plans.Load() - before; planned > maxPlans {
			t.Errorf("%d plans within a second, want at most %d", planned, maxPlans)
		}
	})
}

// TestSubmissionToIdleOwnerIsDispatchedAtOnce checks that the pause between plans does not delay the first items.
func TestSubmissionToIdleOwnerIsDispatchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		defer owner.stop()
		time.Sleep(5 * time.Second)
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(time.Millisecond)
		if sent := countRequests(owner, "/p/j-0"); sent != 1 {
			t.Errorf("%d items were sent within a millisecond, want 1", sent)
		}
	})
}
