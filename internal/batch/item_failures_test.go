package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestFailuresOfAnItemCountOverOwners guards against sending a failing item more often than its route's attempts allow. Only the
// owner of its partition knew the count of its failures. When the ownership ended, since the owner's machine was stopped, killed or
// short of processor time, the next owner started to count at 0 and sent the item as often again. With real processes, while storage
// nodes were stopped in turn, an item with three attempts was answered six times with status 500 within 3.3 s, by three owners. In
// this test, seven owners, six of which end after two answers, sent the item 15 times.
func TestFailuresOfAnItemCountOverOwners(t *testing.T) {
	const owners = 6
	synctest.Test(t, func(t *testing.T) {
		var log []ledger.Record
		posts := 0
		for number := range owners {
			owner := startOwner(t, singleReplica(replicatest.Answer(500, replicatest.Signed, "")), log...)
			if number == 0 {
				owner.mustSubmit(t, testSubmission("j", 1))
			}
			awaitPosts(owner, 2)
			owner.stop()
			log = owner.owned.records
			posts += countPosts(owner)
		}
		last := startOwner(t, singleReplica(replicatest.Answer(500, replicatest.Signed, "")), log...)
		results := last.results(t, "j", 1, time.Minute)
		if posts += countPosts(last); posts != testAttempts {
			t.Errorf("sent %d times by %d owners, want %d", posts, owners+1, testAttempts)
		}
		if results[0].State != batchpb.State_STATE_DEAD_LETTER {
			t.Errorf("state is %v", results[0].State)
		}
		last.stop()
	})
}

// awaitPosts waits until replicas have received count items and the answers have been handled, or nothing more is sent.
func awaitPosts(owner *testOwner, count int) {
	const longest, known = 3 * time.Second, 100 * time.Millisecond
	for began := time.Now(); countPosts(owner) < count && time.Since(began) < longest; {
		time.Sleep(known / 10)
	}
	time.Sleep(known)
}

// TestItemIsNotSentAgainBeforeItsFailureIsDurable checks that an item whose failure cannot be recorded yet is not sent again, since
// the next owner would not know of the failure.
func TestItemIsNotSentAgainBeforeItsFailureIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A replica that failed is avoided for a while, so there is another one for each attempt.
		scripts := map[string]replicatest.Script{}
		for _, id := range []string{"a", "b", "c", "d"} {
			scripts[id] = replicatest.Answer(500, replicatest.Signed, "")
		}
		owner := startOwner(t, scripts)
		owner.mustSubmit(t, testSubmission("j", 1))
		awaitPosts(owner, 1)
		sent := countPosts(owner)
		owner.owned.set(false, outcome.New(outcome.Failed, outcome.ReasonUnavailable, "too few stores have room"))
		// Wake the dispatcher all the time, as other items would, while the ownership still counts as proved.
		for began := time.Now(); time.Since(began) < 900*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			owner.wake()
		}
		if posts := countPosts(owner); posts > sent+1 {
			t.Errorf("sent %d times though no failure after the first %d could be recorded", posts, sent)
		}
		owner.owned.set(false, nil)
		owner.results(t, "j", 1, time.Minute)
		if posts := countPosts(owner); posts != testAttempts {
			t.Errorf("sent %d times, want %d", posts, testAttempts)
		}
		owner.stop()
	})
}
