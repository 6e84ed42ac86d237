package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// An item that fails at each run was sent to replicas far more often than its route's attempts allow: the count of its failures was known
// to the owner of its partition alone. Whenever the ownership ended, since the owner's machine was stopped, killed or short of processor
// time, the next owner counted from nothing and sent the item as often again. Real processes showed it in runs of 25 s in which storage
// nodes stopped in turn: one item was answered seven times with 500 where three attempts are allowed, and the second owner logged
//
//	message=item_not_done begins=1 failures_before=0 owned=true status=500 verdict=failed
//
// for an item that the first had logged with failures_before=1. Six owners that end after two answers each made it twelve answers.
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
