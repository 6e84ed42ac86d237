package quarantine

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// TestInnocentItemIsNotRejectedByEndsThatNobodySaw guards an item whose owners were killed while its replicas crashed:
// the progress of its runs is not known, so that the ends count like losses.
func TestInnocentItemIsNotRejectedByEndsThatNobodySaw(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("item")
	store := newEvidenceStore()
	store.add(1, now, key, suspect{runDuration: 3 * time.Second, progressed: true, reached: 139, reachedKnown: true, origin: originSeen})
	for number := range maxUnfinishedRuns - 1 {
		if got := store.verdict(key); got != Apart {
			t.Errorf("verdict after one observed and %d unseen ends is %s, want %s", number, got, Apart)
		}
		store.add(replica.Key(number+2), now.Add(time.Duration(number+1)*time.Second), key, unseenSuspect(originLapsed))
	}
	if got := store.verdict(key); got != Rejected {
		t.Errorf("verdict after %d ends is %s, want %s", maxUnfinishedRuns, got, Rejected)
	}
}

// TestEndThatSomebodySawCounts: nodes learn of the same end, in any order, from the keeper, which did not observe it,
// and from the holder, which did. The observation must prevail.
func TestEndThatSomebodySawCounts(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("item")
	seen := suspect{runDuration: 100 * time.Millisecond, reachedKnown: true, granted: true, origin: originSeen}
	keeper, holder := newEvidenceStore(), newEvidenceStore()
	for number := range maxEndedReplicas {
		at := now.Add(time.Duration(number) * time.Second)
		keeper.add(replica.Key(number+1), at, key, unseenSuspect(originLapsed))
		holder.add(replica.Key(number+1), at, key, seen)
	}
	if got := keeper.verdict(key); got != Apart {
		t.Errorf("verdict from the keeper's evidence alone is %s, want apart", got)
	}
	later := now.Add(5 * time.Second)
	learned := newEvidenceStore()
	learned.join(keeper.encodeAll(later), later)
	if got := learned.verdict(key); got != Apart {
		t.Errorf("verdict from the evidence that the keeper sends is %s, want apart", got)
	}
	for _, store := range []*evidenceStore{learned, keeper} {
		store.join(holder.encodeAll(later), later)
		if got := store.verdict(key); got != Rejected {
			t.Errorf("verdict with the evidence that the holder sends is %s, want rejected", got)
		}
	}
}

// TestUnseenEndAtThePointOfAnObservedOneCounts guards the bound of three replicas for an item that ends them at an event
// of its answer: the first owner was paused while its replica ended, and broke the run off when it woke.
func TestUnseenEndAtThePointOfAnObservedOneCounts(t *testing.T) {
	for name, test := range map[string]struct {
		unseen suspect
		want   int
	}{
		"at the same event":   {suspect{reached: 188, reachedKnown: true, progressed: true, unseen: true}, 2},
		"at an earlier event": {suspect{reached: 180, reachedKnown: true, progressed: true, unseen: true}, 1},
		"before any event":    {suspect{reachedKnown: true, unseen: true}, 1},
		"at an unknown event": {suspect{unseen: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now, key := time.Unix(1_000_000, 0), keyOf("item")
			store := newEvidenceStore()
			store.add(1, now, key, test.unseen)
			store.add(2, now.Add(time.Second), key, suspect{reached: 188, reachedKnown: true, progressed: true})
			if got := store.endCount(key); got != test.want {
				t.Errorf("%d ends are counted, want %d", got, test.want)
			}
		})
	}
}
