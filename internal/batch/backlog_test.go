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

// TestExcess: only what could not be done with all slots before it may be given up is too much.
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

// TestHopelessJobIsRefusedAtOnce: once it is known how long items take, a job that cannot be done before it may be given up is refused and told
// when to come back; nothing of it runs, what was accepted before is done, and it is accepted once less waits.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(slowReplica(20, 100*time.Millisecond)))
		owner.routes.Table().Routes[0].Retention = time.Minute
		owner.mustSubmit(t, batchOf("first", 1))
		owner.results(t, "first", 1, time.Minute)
		accepted, refusal := 0, error(nil)
		for ; accepted < 100; accepted++ {
			name := fmt.Sprint("job-", accepted)
			if _, refusal = owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: batchOf(name, 20)}); refusal != nil {
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
		owner.mustSubmit(t, batchOf(fmt.Sprint("job-", accepted), 20))
		owner.end()
	})
}
