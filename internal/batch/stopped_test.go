package batch

import (
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// A submission that came while its partition stopped ended the whole process of a storage node: it began its work in the moment between
// the end of all other work and the return of the wait for it. Real processes that were stopped in turn wrote
//
//	partition_lost cause=released partition=2
//	panic: sync: WaitGroup is reused before previous Wait has returned
//
// from the partition's Stop. Whatever comes after the stop has begun is answered at once and begins nothing.
func TestSubmissionToAStoppedPartitionBeginsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(replicatest.Hang()))
		owner.end()
		submission := batchOf("j", 1)
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
