package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
)

// endOfItemAt returns the end of a replica under an item whose answer had the given number of events then.
func endOfItemAt(events int) suspect {
	return suspect{runDuration: 200 * time.Millisecond, item: true, progressed: true, reached: events, reachedKnown: true, origin: originSeen}
}

// TestClearedEndDoesNotHideALaterPointOfTheSameReplica guards the bound of three replicas for an item that ends them: two
// owners, one of them paused, ran it at one replica. The end behind the paused owner's last event was cleared once the
// answer had come further, and the other owner's end, behind a later event, stayed cleared with it.
func TestClearedEndDoesNotHideALaterPointOfTheSameReplica(t *testing.T) {
	item, start := keyOf("item"), time.Unix(1_000_000, 0)
	now := start.Add(time.Second)
	stores := func() (paused, other *evidenceStore) {
		paused, other = newEvidenceStore(), newEvidenceStore()
		paused.add(1, start, item, endOfItemAt(28))
		paused.clear(item, 84)
		other.add(1, start, item, endOfItemAt(84))
		return paused, other
	}
	for name, join := range map[string]func(paused, other *evidenceStore) *evidenceStore{
		"the paused owner hears of the other end": func(paused, other *evidenceStore) *evidenceStore {
			paused.join(other.encodeAll(now), now)
			return paused
		},
		"the other owner hears of the cleared end": func(paused, other *evidenceStore) *evidenceStore {
			other.join(paused.encodeAll(now), now)
			return other
		},
		"a third node hears of the cleared end first": func(paused, other *evidenceStore) *evidenceStore {
			third := newEvidenceStore()
			third.join(paused.encodeAll(now), now)
			third.join(other.encodeAll(now), now)
			return third
		},
		"a third node hears of the cleared end last": func(paused, other *evidenceStore) *evidenceStore {
			third := newEvidenceStore()
			third.join(other.encodeAll(now), now)
			third.join(paused.encodeAll(now), now)
			return third
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := join(stores())
			if got := store.endCount(item); got != 1 {
				t.Errorf("%d ends count, want 1: the answer has not passed the later point", got)
			}
			if got := store.incidents[1].openSuspects; got != 1 {
				t.Errorf("%d suspects are open, want 1", got)
			}
			store.clear(item, 84+progressMarginEvents+1)
			if got := store.endCount(item); got != 0 {
				t.Errorf("%d ends count after the answer has passed the later point, want 0", got)
			}
		})
	}
}

// TestCompletedMessageStaysClearedAtAnyPoint guards innocent messages: after a complete run no end of the replica that is
// learned of later counts, at whatever point it was.
func TestCompletedMessageStaysClearedAtAnyPoint(t *testing.T) {
	item, start := keyOf("item"), time.Unix(1_000_000, 0)
	now := start.Add(time.Second)
	completed, other := newEvidenceStore(), newEvidenceStore()
	completed.add(1, start, item, endOfItemAt(28))
	completed.clear(item, entireAnswer)
	other.add(1, start, item, endOfItemAt(84))
	other.join(completed.encodeAll(now), now)
	completed.join(other.encodeAll(now), now)
	for name, store := range map[string]*evidenceStore{"the node that cleared it": completed, "the other node": other} {
		if got := store.endCount(item); got != 0 {
			t.Errorf("%d ends count at %s, want 0", got, name)
		}
	}
}

// TestClearedFlagOfOlderBuilds covers what the flag states that older builds send alone: with the progress of the run, that
// its point was passed; without, that the message completed, which an item does only once.
func TestClearedFlagOfOlderBuilds(t *testing.T) {
	item := keyOf("item")
	flagged := func(progress quarantinepb.Progress, reached uint32) *quarantinepb.Incident {
		return &quarantinepb.Incident{Replica: 1, Suspects: []*quarantinepb.Suspect{
			{Message: keyBytes(item), RanMillis: 200, Cleared: true, Progress: progress, Reached: reached},
		}}
	}
	request := endOfItemAt(84)
	request.item = false
	for name, test := range map[string]struct {
		flag  *quarantinepb.Incident
		known suspect
		want  int
	}{
		"the same point":                          {flagged(quarantinepb.Progress_PROGRESS_MADE, 84), endOfItemAt(84), 0},
		"an earlier point":                        {flagged(quarantinepb.Progress_PROGRESS_MADE, 28), endOfItemAt(84), 1},
		"before any event":                        {flagged(quarantinepb.Progress_PROGRESS_NONE, 0), endOfItemAt(84), 1},
		"no point, end of an item":                {flagged(quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0), endOfItemAt(84), 1},
		"no point, end of a request":              {flagged(quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0), request, 0},
		"no point, end at a point nobody told of": {flagged(quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0), suspect{item: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			knownFirst, flagFirst, third := newEvidenceStore(), newEvidenceStore(), newEvidenceStore()
			knownFirst.add(1, now, item, test.known)
			knownFirst.join([]*quarantinepb.Incident{test.flag}, now)
			flagFirst.join([]*quarantinepb.Incident{test.flag}, now)
			flagFirst.add(1, now, item, test.known)
			third.join(flagFirst.encodeAll(now), now)
			for order, store := range map[string]*evidenceStore{"known first": knownFirst, "flag first": flagFirst, "passed on": third} {
				if got := store.endCount(item); got != test.want {
					t.Errorf("%s: %d ends count, want %d", order, got, test.want)
				}
			}
		})
	}
}

// TestSuspectsMergeInAnyOrder guards against nodes that judge the same ends differently, depending on whom they heard first.
func TestSuspectsMergeInAnyOrder(t *testing.T) {
	events := rapid.SampledFrom([]int{0, 28, 84, 120})
	drawn := rapid.Custom(func(t *rapid.T) suspect {
		known := rapid.Bool().Draw(t, "reachedKnown")
		received := suspect{
			runDuration:        time.Duration(rapid.IntRange(1, 4000).Draw(t, "ran")) * time.Millisecond,
			clearedUpTo:        rapid.SampledFrom([]int{0, 45, 84, 140, entireAnswer}).Draw(t, "clearedUpTo"),
			clearedUnqualified: rapid.Bool().Draw(t, "clearedUnqualified"),
			item:               rapid.Bool().Draw(t, "item"),
			expired:            known && rapid.Bool().Draw(t, "expired"),
			granted:            rapid.Bool().Draw(t, "granted"),
			deciding:           rapid.Bool().Draw(t, "deciding"),
			unseen:             rapid.Bool().Draw(t, "unseen"),
			reachedKnown:       known,
			origin:             originShared,
		}
		if known {
			received.reached = events.Draw(t, "reached")
			received.progressed = received.reached > 0
		}
		return received
	})
	rapid.Check(t, func(t *rapid.T) {
		received := rapid.SliceOfN(drawn, 2, 5).Draw(t, "received")
		merged, other := received[0], rapid.Permutation(received).Draw(t, "permutation")
		for _, next := range received[1:] {
			merged = merged.merge(next)
		}
		mergedOther := other[0]
		for _, next := range other[1:] {
			mergedOther = mergedOther.merge(next)
		}
		if merged != mergedOther || merged.cleared() != mergedOther.cleared() {
			t.Errorf("the merged suspects differ with the order: %+v and %+v", merged, mergedOther)
		}
	})
}
