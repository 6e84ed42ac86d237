package batch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestItemIsNotDoneByAnswersThatEndBeforeItsRequest: an answer with neither a length nor chunks that brings nothing behind the last event
// shows that the text is whole, unless its connection ended while the item was still being sent.
func TestItemIsNotDoneByAnswersThatEndBeforeItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := replicatest.Then(replicatest.CloseDelimited(200, eventOne), replicatest.CloseDelimited(200, ""))
		sound := replicatest.AfterBody(replicatest.Stream("s", true, false, eventTwo))
		owner := startOwner(t, singleReplica(timesThen(2, early, sound)))
		owner.replicas.AnswersEarly = true
		defer owner.stop()
		submission := testSubmission("j", 1)
		submission.Items[0].Body = []byte(strings.Repeat("u", 64<<10))
		owner.mustSubmit(t, submission)
		result := owner.results(t, "j", 1, 10*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
			t.Fatalf("the item is %s with the text %q", result.State, result.Text)
		}
		requests := owner.replicas.Requests()
		if got := requests[len(requests)-1].Header.Get("Last-Event-Id"); got != "1" {
			t.Errorf("the last run resumes after %q, want 1", got)
		}
	})
}
