package quarantine

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// TestInnocentItemIsNotRejectedByEndsThatNobodySaw guards an item whose owners were killed while its replicas crashed: what it had made there is not known.
func TestInnocentItemIsNotRejectedByEndsThatNobodySaw(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("item")
	made := newBook()
	made.add(1, now, key, suspect{ran: 3 * time.Second, progressed: true, reached: 139, reachedKnown: true, origin: originSeen})
	for number := range mostUnfinished - 1 {
		if got := made.verdict(key); got != Apart {
			t.Errorf("after one end and %d that nobody saw: %s, want %s", number, got, Apart)
		}
		made.add(replica.Key(number+2), now.Add(time.Duration(number+1)*time.Second), key, unseen(originLapsed))
	}
	if got := made.verdict(key); got != Rejected {
		t.Errorf("after %d ends: %s, want %s", mostUnfinished, got, Rejected)
	}
}

// TestEndThatSomebodySawCounts: nodes learn of the same end from the keeper, which did not see it, and from its holder, in any order.
func TestEndThatSomebodySawCounts(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("item")
	seen := suspect{ran: 100 * time.Millisecond, reachedKnown: true, granted: true, origin: originSeen}
	keeper, holder := newBook(), newBook()
	for number := range mostEnded {
		at := now.Add(time.Duration(number) * time.Second)
		keeper.add(replica.Key(number+1), at, key, unseen(originLapsed))
		holder.add(replica.Key(number+1), at, key, seen)
	}
	if got := keeper.verdict(key); got != Apart {
		t.Errorf("the keeper alone: %s", got)
	}
	later := now.Add(5 * time.Second)
	learned := newBook()
	learned.join(keeper.all(later), later)
	if got := learned.verdict(key); got != Apart {
		t.Errorf("what the keeper sends: %s", got)
	}
	for _, each := range []*book{learned, keeper} {
		each.join(holder.all(later), later)
		if got := each.verdict(key); got != Rejected {
			t.Errorf("with what the holder sends: %s", got)
		}
	}
}
