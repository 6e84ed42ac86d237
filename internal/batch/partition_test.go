package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)

func testSubmission(jobID string, items int) *batchpb.Submission {
	submission := plainSubmission(jobID, items)
	submission.Host = testHost
	for _, item := range submission.Items {
		item.Path = "/p/" + item.Id
	}
	return submission
}

func singleReplica(script replicatest.Script) map[string]replicatest.Script {
	return map[string]replicatest.Script{"a": script}
}

func TestItemsAreRunAndListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne, eventTwo)))
		owner.mustSubmit(t, testSubmission("j", 5))
		for _, result := range owner.results(t, "j", 5, 5*time.Second) {
			if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
				t.Errorf("item %s: %v %q", result.ItemId, result.State, result.Text)
			}
		}
		owner.stop()
	})
}

func TestCutItemGoesOnBehindItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := replicatest.Stream("s", false, false, eventOne, "id: 2\nda")
		owner := startOwner(t, singleReplica(replicatest.Then(first, replicatest.Stream("s", true, false, eventTwo))))
		owner.mustSubmit(t, testSubmission("j", 1))
		if text := owner.results(t, "j", 1, 5*time.Second)[0].Text; text != "a\nb" {
			t.Errorf("text is %q", text)
		}
		if resumed := owner.replicas.Requests()[1].Header.Get("Last-Event-Id"); resumed != "1" {
			t.Errorf("resumed after event %q, want 1", resumed)
		}
		owner.stop()
	})
}

func TestDeadLetters(t *testing.T) {
	for _, test := range []struct {
		name   string
		script replicatest.Script
		runs   int
	}{
		{"impossible", replicatest.Answer(422, replicatest.Signed, ""), 1},
		{"fails each time", replicatest.Answer(500, replicatest.Signed, ""), 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := startOwner(t, singleReplica(test.script))
				owner.mustSubmit(t, testSubmission("j", 1))
				if state := owner.results(t, "j", 1, 30*time.Second)[0].State; state != batchpb.State_STATE_DEAD_LETTER {
					t.Errorf("state is %v", state)
				}
				if runs := countPosts(owner); runs != test.runs {
					t.Errorf("sent %d times, want %d", runs, test.runs)
				}
				owner.stop()
			})
		})
	}
}

func countPosts(owner *testOwner) int {
	posts := 0
	for _, request := range owner.replicas.Requests() {
		if request.Method == "POST" {
			posts++
		}
	}
	return posts
}

func TestRefusedItemIsNeverADeadLetter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Refuse()))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(10 * time.Second)
		response, err := owner.read(t.Context(), &batchpb.ReadRequest{JobId: "j"})
		if err != nil || len(response.Results) != 0 || !response.Found {
			t.Errorf("results are %v, %v", response, err)
		}
		owner.stop()
	})
}

func TestSubmissionIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		owner.owned.set(true, nil)
		impatient, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := owner.submit(impatient, &batchpb.SubmitRequest{Submission: testSubmission("j", 2)})
		if outcome.Of(err) != outcome.Indeterminate {
			t.Errorf("submission with an undecided append ends with %v, want an indeterminate outcome", err)
		}
		owner.owned.set(false, nil)
		owner.mustSubmit(t, testSubmission("j", 2))
		owner.mustSubmit(t, testSubmission("j", 2))
		accepted := 0
		owner.owned.mutex.Lock()
		for _, record := range owner.owned.records {
			if record.Kind == acceptanceRecords(testSubmission("j", 2), 1)[0].Kind {
				accepted++
			}
		}
		owner.owned.mutex.Unlock()
		if accepted != 1 {
			t.Errorf("the job is accepted %d times", accepted)
		}
		owner.stop()
	})
}

func TestRefusedSubmissionNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne)))
		owner.owned.set(false, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "full"))
		if _, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: testSubmission("j", 2)}); outcome.Of(err) != outcome.NotRun {
			t.Errorf("error is %v, want not run", err)
		}
		owner.owned.set(false, nil)
		time.Sleep(3 * time.Second)
		if posts := countPosts(owner); posts != 0 {
			t.Errorf("%d items of a refused job were sent", posts)
		}
		owner.stop()
	})
}

func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		request := func(job string) *batchpb.SubmitRequest {
			return &batchpb.SubmitRequest{Submission: testSubmission(job, 2), MaxWaitingTokens: 50}
		}
		for _, step := range []struct {
			job      string
			accepted bool
		}{{"j1", true}, {"j2", true}, {"j3", false}, {"j1", true}} {
			response, err := owner.submit(t.Context(), request(step.job))
			if err != nil || response.Accepted != step.accepted || response.OverQuota == step.accepted {
				t.Errorf("%s: %v, %v", step.job, response, err)
			}
		}
		if _, err := owner.partition.end(t.Context(), &batchpb.EndRequest{JobId: "j1"}); err != nil {
			t.Fatal(err)
		}
		if response, err := owner.submit(t.Context(), request("j3")); err != nil || !response.Accepted {
			t.Errorf("after the end of a job another does not fit: %v, %v", response, err)
		}
		owner.stop()
	})
}

func TestEndedJobIsNotSentAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Refuse()))
		owner.mustSubmit(t, testSubmission("j", 3))
		time.Sleep(time.Second)
		for range 2 {
			if response, err := owner.partition.end(t.Context(), &batchpb.EndRequest{JobId: "j"}); err != nil || !response.Found {
				t.Fatalf("end: %v, %v", response, err)
			}
		}
		synctest.Wait()
		before := countPosts(owner)
		time.Sleep(10 * time.Second)
		if after := countPosts(owner); after != before {
			t.Errorf("%d items were sent after the end", after-before)
		}
		if response, err := owner.partition.end(t.Context(), &batchpb.EndRequest{JobId: "none"}); err != nil || response.Found {
			t.Errorf("end of an unknown job: %v, %v", response, err)
		}
		owner.stop()
	})
}

// TestItemsOfAJobThatEndedLateAreCutOff guards against an item that goes on, lease after lease, after the end of its job was
// acknowledged: the append of the first request came after that request's deadline, and the second one found the job ended.
func TestItemsOfAJobThatEndedLateAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(slowReplica(200, 100*time.Millisecond)))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(200 * time.Millisecond)
		owner.owned.set(true, nil)
		bounded, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := owner.partition.end(bounded, &batchpb.EndRequest{JobId: "j"}); err == nil {
			t.Fatal("the end was acknowledged while no append is decided")
		}
		owner.owned.set(false, nil)
		time.Sleep(100 * time.Millisecond)
		if response, err := owner.partition.end(t.Context(), &batchpb.EndRequest{JobId: "j"}); err != nil || !response.Found {
			t.Fatalf("end: %v, %v", response, err)
		}
		time.Sleep(time.Second)
		owner.mutex.Lock()
		run := owner.runs[itemKey{job: "j"}]
		running := run != nil && run.running
		owner.mutex.Unlock()
		if running {
			t.Error("the item still runs a second after the end of its job")
		}
		owner.stop()
	})
}

// TestNothingIsDeniedWithoutProofOfOwnership: an owner that was replaced without noticing it may lack a job, so it must not report
// that the job is unknown.
func TestNothingIsDeniedWithoutProofOfOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		owner.owned.set(true, nil)
		// Right after the recovery the ownership counts as proved.
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if response, err := owner.read(ctx, &batchpb.ReadRequest{JobId: "j"}); err == nil {
			t.Errorf("a read without proof gives %v", response)
		}
		if response, err := owner.body(ctx, &batchpb.BodyRequest{JobId: "j", ItemId: "i"}); err == nil {
			t.Errorf("a body without proof gives %v", response)
		}
		owner.owned.set(false, nil)
		if response, err := owner.read(t.Context(), &batchpb.ReadRequest{JobId: "j"}); err != nil || response.Found {
			t.Errorf("a read with proof gives %v, %v", response, err)
		}
		owner.stop()
	})
}

func TestOwnerThatCannotProveItselfSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Refuse()))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(time.Second)
		owner.owned.set(true, nil)
		time.Sleep(confirmWindow + dispatchInterval)
		before := countPosts(owner)
		time.Sleep(10 * time.Second)
		if after := countPosts(owner); after != before {
			t.Errorf("%d items were sent by an owner without proof", after-before)
		}
		owner.owned.set(false, nil)
		owner.stop()
	})
}

// TestSuccessorGoesOnWhereTheLogEnds checks that the text of a running item is in the log within checkpointInterval.
func TestSuccessorGoesOnWhereTheLogEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// After the first event the replica sends nothing for a long time.
		owner := startOwner(t, singleReplica(replicatest.Then(replicatest.Stream("s", true, true, eventOne), replicatest.Stream("s", true, true))))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(checkpointInterval + 100*time.Millisecond)
		owner.stop()
		successor := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventTwo)), owner.owned.records...)
		if text := successor.results(t, "j", 1, 5*time.Second)[0].Text; text != "a\nb" {
			t.Errorf("text is %q", text)
		}
		if resumed := successor.replicas.Requests()[0].Header.Get("Last-Event-Id"); resumed != "1" {
			t.Errorf("resumed after event %q, want 1", resumed)
		}
		successor.stop()
	})
}

func TestItemsYieldToOnlineRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, map[string]replicatest.Script{
			"a": replicatest.Stream("s", true, true, eventOne), "b": replicatest.Stream("s", true, true, eventOne),
		})
		owner.mustSubmit(t, testSubmission("j", 8))
		time.Sleep(500 * time.Millisecond)
		if _, _, running := owner.service.itemLimits("s", time.Now()); running < 5 {
			t.Errorf("%d items run on 8 idle slots", running)
		}
		owner.fleet.set(loadshare.Demand{InUse: 6}, 0)
		owner.service.OnlineChanged()
		synctest.Wait()
		if _, keep, running := owner.service.itemLimits("s", time.Now()); running > keep || running > 2 {
			t.Errorf("%d items run beside 6 online requests on 8 slots", running)
		}
		owner.stop()
	})
}

func TestItemOfARouteThatIsGoneIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Refuse()))
		owner.mustSubmit(t, testSubmission("j", 1))
		owner.routes.Offer(testTable(2, false))
		if state := owner.results(t, "j", 1, 20*time.Second)[0].State; state != batchpb.State_STATE_DEAD_LETTER {
			t.Errorf("state is %v", state)
		}
		owner.stop()
	})
}

func TestOldJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne)))
		owner.mustSubmit(t, testSubmission("j", 1))
		owner.results(t, "j", 1, 5*time.Second)
		time.Sleep(50 * time.Second)
		if response, err := owner.read(t.Context(), &batchpb.ReadRequest{JobId: "j"}); err != nil || len(response.Results) != 1 {
			t.Errorf("results are gone too early: %v, %v", response, err)
		}
		time.Sleep(2 * time.Minute)
		if response, err := owner.read(t.Context(), &batchpb.ReadRequest{JobId: "j"}); err != nil || response.Found {
			t.Errorf("results are kept for ever: %v, %v", response, err)
		}
		owner.stop()
	})
}

// TestFullDisksRefuseNewJobsOnly checks that accepted jobs are run, listed, read and ended even if only the stores' reserve is left.
func TestFullDisksRefuseNewJobsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne, eventTwo)))
		owner.mustSubmit(t, testSubmission("j", 3))
		owner.owned.mutex.Lock()
		owner.owned.full = true
		owner.owned.mutex.Unlock()
		_, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: testSubmission("later", 1)})
		if refused := outcome.As(err); refused == nil || refused.Outcome != outcome.NotRun || refused.Reason != outcome.ReasonStorageFull {
			t.Errorf("a job that finds the disks full: %v", err)
		}
		if _, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: testSubmission("j", 3)}); err != nil {
			t.Errorf("a job that is accepted already: %v", err)
		}
		if results := owner.results(t, "j", 3, 5*time.Second); len(results) != 3 {
			t.Errorf("%d of 3 items are listed", len(results))
		}
		owner.stop()
	})
}
