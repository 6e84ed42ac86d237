package batch

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
)

// TestExcess checks that a backlog has a positive excess only if it exceeds what all slots can do within the retention.
func TestExcess(t *testing.T) {
	for _, test := range []struct {
		name    string
		backlog backlog
		want    time.Duration
	}{
		{"nothing waits", backlog{added: 50 * time.Second, slots: 10, retention: time.Minute}, 5*time.Second - time.Minute},
		{"as much as can be done", backlog{waiting: 590 * time.Second, added: 10 * time.Second, slots: 10, retention: time.Minute}, 0},
		{"more", backlog{waiting: 690 * time.Second, added: 10 * time.Second, slots: 10, retention: time.Minute}, 10 * time.Second},
		{"never given up", backlog{waiting: time.Hour, added: time.Hour, slots: 1}, 0},
		{"no replicas known", backlog{waiting: time.Hour, added: time.Hour, retention: time.Minute}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.backlog.excess(); got != test.want {
				t.Errorf("excess %s, want %s", got, test.want)
			}
		})
	}
}

// TestJobThatExceedsItsRetentionIsRefused checks that, once the run time of items is known, a job that cannot be done within its retention is
// refused with a time to retry. None of its items run, jobs accepted before are done, and the job is accepted once the backlog is
// smaller.
func TestJobThatExceedsItsRetentionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(slowReplica(20, 100*time.Millisecond)))
		owner.routes.Table().Routes[0].Retention = time.Minute
		owner.mustSubmit(t, testSubmission("first", 1))
		owner.results(t, "first", 1, time.Minute)
		accepted, refusal := 0, error(nil)
		for ; accepted < 100; accepted++ {
			name := fmt.Sprint("job-", accepted)
			if _, refusal = owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: testSubmission(name, 20)}); refusal != nil {
				break
			}
		}
		var failure *outcome.Error
		if !errors.As(refusal, &failure) || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonOverloaded || failure.RetryAfter <= 0 {
			t.Fatalf("after %d jobs: %v, want a refusal that says when to come back", accepted, refusal)
		}
		if accepted == 0 {
			t.Fatal("not even the first job was accepted")
		}
		for number := range accepted {
			owner.results(t, fmt.Sprint("job-", number), 20, 2*time.Minute)
		}
		owner.mustSubmit(t, testSubmission(fmt.Sprint("job-", accepted), 20))
		owner.stop()
	})
}
