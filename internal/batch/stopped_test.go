package batch

import (
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestSubmissionToAStoppedPartitionBeginsNothing guards against a panic that ended the process of a storage node: a submission that
// arrived while its partition stopped started its work between the end of all other work and the return of Stop's wait for it
// ("sync: WaitGroup is reused before previous Wait has returned"). This happened to real processes that were stopped in turn. A
// submission after the beginning of the stop must be answered at once and start nothing.
func TestSubmissionToAStoppedPartitionBeginsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		owner.stop()
		submission := testSubmission("j", 1)
		owner.submitting["j"] = &pendingSubmission{done: make(chan struct{})}
		pending := owner.startAppend(submission)
		select {
		case <-pending.done:
		default:
			t.Fatal("work began after the partition had stopped")
		}
		if outcome.Of(pending.err) != outcome.NotRun {
			t.Errorf("submission ended with %v, want that nothing runs", pending.err)
		}
	})
}
