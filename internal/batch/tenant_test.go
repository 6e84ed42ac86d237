package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestItemsNameTheirTenant checks that each run of an item names the job's tenant, whatever the item's own headers contain, and that
// none carries an API key.
func TestItemsNameTheirTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		interrupted := replicatest.Stream("s", false, false, eventOne)
		owner := startOwner(t, singleReplica(replicatest.Then(interrupted, replicatest.Stream("s", true, false, eventTwo))))
		submission := testSubmission("j", 1)
		submission.Tenant = "one"
		submission.Items[0].Headers = []*batchpb.Header{{Name: "X-Tenant", Value: "forged"}, {Name: "x-key", Value: "secret"}}
		owner.mustSubmit(t, submission)
		owner.results(t, "j", 1, 5*time.Second)
		owner.stop()
		runs := owner.replicas.Requests()
		if len(runs) != 2 {
			t.Fatalf("%d runs, want 2", len(runs))
		}
		for number, run := range runs {
			if _, leaked := run.Header["X-Key"]; leaked || len(run.Header["X-Tenant"]) != 1 || run.Header.Get("X-Tenant") != "one" {
				t.Errorf("run %d has %v", number, run.Header)
			}
		}
	})
}

// TestEachTenantHasItsOwnQuota checks that the waiting tokens of one tenant do not count for another.
func TestEachTenantHasItsOwnQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, nil)
		for _, step := range []struct {
			job, tenant string
			accepted    bool
		}{{"j1", "one", true}, {"j2", "one", false}, {"j3", "two", true}, {"j4", "two", false}, {"j1", "one", true}} {
			submission := testSubmission(step.job, 4)
			submission.Tenant = step.tenant
			response, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: submission, MaxWaitingTokens: tokensOf(submission)})
			if err != nil || response.Accepted != step.accepted {
				t.Errorf("%s of %s: %v, %v, want accepted %t", step.job, step.tenant, response, err, step.accepted)
			}
		}
		owner.stop()
	})
}

func TestJobsOfOneIDBelongToTheirTenants(t *testing.T) {
	names := map[string]Caller{}
	for _, caller := range []Caller{{}, {Tenant: "a"}, {Tenant: "a/b"}, {Tenant: "b"}} {
		for _, id := range []string{"j", "b/j"} {
			name := caller.jobName(id)
			if other, taken := names[name]; taken {
				t.Errorf("%v and %v have a job %q", caller, other, name)
			}
			names[name] = caller
		}
	}
}
