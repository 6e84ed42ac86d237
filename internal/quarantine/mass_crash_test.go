package quarantine

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// massCrash returns a store in which replicas 1 to count end within a few milliseconds, the item running at those from the
// given number on and other messages at the rest.
func massCrash(start time.Time, item Key, count, itemFrom int) *evidenceStore {
	store := newEvidenceStore()
	for number := 1; number <= count; number++ {
		message := keyOf("other")
		if number >= itemFrom {
			message = item
		}
		store.add(replica.Key(number), start.Add(time.Duration(number)*time.Millisecond), message, itemRunWithoutEvents())
	}
	return store
}

func itemRunWithoutEvents() suspect {
	return suspect{runDuration: 24 * time.Millisecond, reachedKnown: true, item: true, origin: originSeen}
}

// TestItemThatEndsReplicasBesideOthersDecidesAtItsThird guards the bound of three replicas for an item that ends them: two
// of them ended within 30 ms of a third one, which another message ended, and were counted as one.
func TestItemThatEndsReplicasBesideOthersDecidesAtItsThird(t *testing.T) {
	item, start := keyOf("item"), time.Unix(1_000_000, 0)
	store := massCrash(start, item, 3, 2)
	if !store.nextRunDecides(item) {
		t.Error("the next run is not the deciding run after two ends")
	}
	deciding := itemRunWithoutEvents()
	deciding.granted, deciding.deciding = true, true
	store.add(4, start.Add(10*time.Second), item, deciding)
	if got := store.verdict(item); got != Rejected {
		t.Errorf("verdict after the end of the deciding run is %s, want rejected", got)
	}
}

// TestMassCrashAloneRejectsNoItem guards innocent items: however many replicas end together under them, and also if one
// more ends by chance under a run that decides nothing, they are not rejected.
func TestMassCrashAloneRejectsNoItem(t *testing.T) {
	for _, count := range []int{maxEndedReplicas, 4 * maxEndedWithProgress} {
		item, start := keyOf("item"), time.Unix(1_000_000, 0)
		store := massCrash(start, item, count, 2)
		if got := store.verdict(item); got != Apart {
			t.Errorf("verdict after %d ends at once is %s, want apart", count-1, got)
		}
		later := itemRunWithoutEvents()
		later.granted = true
		store.add(replica.Key(count+1), start.Add(10*time.Second), item, later)
		if got := store.verdict(item); got != Apart {
			t.Errorf("verdict after %d ends at once and one more is %s, want apart", count-1, got)
		}
	}
}
