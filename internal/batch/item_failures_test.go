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

// An item that fails at each run was sent to replicas more often than its route's attempts allow: the count of its failures was known to
// the owner of its partition alone. Whenever the ownership ended, since the owner's machine was stopped, killed or short of processor time,
// the next owner counted from nothing and sent the item as often again. Real processes showed it where storage nodes stopped in turn. One
// item was answered six times with 500 within 3.3 s, by three owners, where three attempts are allowed:
//
//	03:08:00.129 item_not_done begins=1 failures_before=0 node=storage-1 owned=true replica=r-2 status=500
//	03:08:01.443 item_not_done begins=2 failures_before=1 node=storage-1 owned=true replica=r-1 status=500
//	03:08:02.662 item_not_done begins=1 failures_before=0 node=storage-2 owned=true replica=r-2 status=500
//	03:08:02.800 item_not_done begins=1 failures_before=0 node=storage-3 owned=true replica=r-3 status=500
//	03:08:03.088 item_not_done begins=2 failures_before=1 node=storage-3 owned=true replica=r-2 status=500
//	03:08:03.394 item_not_done begins=3 failures_before=2 node=storage-3 owned=true replica=r-3 status=500
//
// Seven owners, of whom six end after two answers, sent the item of this test 15 times.
func TestFailuresOfAnItemCountOverOwners(t *testing.T) {
	const owners = 6
	synctest.Test(t, func(t *testing.T) {
		var log []ledger.Record
		posts := 0
		for number := range owners {
			owner := own(t, only(replicatest.Answer(500, replicatest.Signed, "")), log...)
			if number == 0 {
				owner.mustSubmit(t, batchOf("j", 1))
			}
			awaitPosts(owner, 2)
			owner.end()
			log = owner.owned.records
			posts += countPosts(owner)
		}
		last := own(t, only(replicatest.Answer(500, replicatest.Signed, "")), log...)
		results := last.results(t, "j", 1, time.Minute)
		if posts += countPosts(last); posts != testAttempts {
			t.Errorf("sent %d times by %d owners, want %d", posts, owners+1, testAttempts)
		}
		if results[0].State != batchpb.State_STATE_DEAD_LETTER {
			t.Errorf("state is %v", results[0].State)
		}
		last.end()
	})
}

// awaitPosts waits until replicas have had count items and what they answered is known for a while, or nothing more is sent.
func awaitPosts(owner *ownerUnderTest, count int) {
	const longest, known = 3 * time.Second, 100 * time.Millisecond
	for began := time.Now(); countPosts(owner) < count && time.Since(began) < longest; {
		time.Sleep(known / 10)
	}
	time.Sleep(known)
}

// An item whose failure cannot be recorded is not sent again meanwhile, since an owner that comes next would not know of it.
func TestItemIsNotSentAgainBeforeItsFailureIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A replica that failed is avoided for a while; there is another for each attempt.
		scripts := map[string]replicatest.Script{}
		for _, id := range []string{"a", "b", "c", "d"} {
			scripts[id] = replicatest.Answer(500, replicatest.Signed, "")
		}
		owner := own(t, scripts)
		owner.mustSubmit(t, batchOf("j", 1))
		awaitPosts(owner, 1)
		sent := countPosts(owner)
		owner.owned.set(false, outcome.New(outcome.Failed, outcome.ReasonUnavailable, "too few stores have room"))
		// The dispatcher looks again all the time, as beside other items, while the ownership still counts as proved.
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
		owner.end()
	})
}
