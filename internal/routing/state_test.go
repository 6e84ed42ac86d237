package routing

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

func TestOwnRequestsSinceReport(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	own := &ownRequests{}
	replica := &fleet.Replica{}
	own.record(at(0), 1, false)
	own.record(at(10), 1, false)
	own.record(at(10), 1, true) // batch is not counted, since credits account for it
	if got := own.unreported(replica, time.Second); got != 2 {
		t.Fatalf("without a report: %d requests, want 2", got)
	}
	// Measured at 5 ms and received at 105 ms: the report includes the request started at 0 ms.
	replica.HasLoad, replica.HeardAt = true, at(105)
	replica.Load = engine.LoadReport{MeasuredAt: at(5)}
	if got := own.unreported(replica, time.Second); got != 1 {
		t.Fatalf("after a lagging report: %d requests, want 1", got)
	}
	// The request that the report includes ends, so the report counts one too many.
	own.record(at(110), -1, false)
	own.record(at(111), -1, false)
	if got := own.unreported(replica, time.Second); got != -1 {
		t.Fatalf("after both ended: %d requests, want -1", got)
	}
	// The lag is clamped if the engine's clock is far ahead or behind.
	if got := MeasuredAt(at(-90_000), at(200), time.Second); !got.Equal(at(-800)) {
		t.Fatalf("clock behind: measured at %s", got.Sub(start))
	}
	if got := MeasuredAt(at(90_000), at(200), time.Second); !got.Equal(at(200)) {
		t.Fatalf("clock ahead: measured at %s", got.Sub(start))
	}
}

func TestPrefixIndexFollowsCacheEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	index := newPrefixIndex(true)
	expect := func(what string, replica string, blocks int, minConfidence, maxConfidence float64) {
		t.Helper()
		got := index.matchAll(now, []uint64{1, 2, 3, 4})[replica]
		single := index.matchReplica(now, replica, []uint64{1, 2, 3, 4})
		if got.blocks != blocks || blocks > 0 && (got != single || got.confidence < minConfidence || got.confidence > maxConfidence) {
			t.Fatalf("%s: %s holds %+v (%+v alone), want %d blocks", what, replica, got, single, blocks)
		}
	}
	index.record(now, "a", []uint64{1, 2, 3}, false)
	index.record(now, "b", []uint64{1, 9}, false)
	expect("own dispatch", "a", 3, 1, 1)
	expect("own dispatch", "b", 1, 1, 1)
	now = now.Add(unconfirmedHalfLife)
	expect("after a half-life", "a", 3, 0.49, 0.51)
	index.correct(now, fleet.CacheChange{Replica: "a", Stored: []uint64{1, 2, 3}})
	expect("confirmed", "a", 3, 0.99, 1)
	now = now.Add(unconfirmedHalfLife)
	expect("confirmed, later", "a", 3, 0.8, 0.9)
	index.correct(now, fleet.CacheChange{Replica: "a", Evicted: []uint64{2}, Gap: true})
	expect("evicted in the middle, with a gap", "a", 1, 0.6, 0.75)
	index.correct(now, fleet.CacheChange{Replica: "a", Cleared: true, Stored: []uint64{1}})
	expect("cleared, then stored", "a", 1, 0.99, 1)
	expect("another replica's events", "b", 1, 0.2, 0.3)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := newPrefixIndex(true)
	now := time.Unix(1000, 0)
	for block := range uint64(3 * maxIndexBlocks) {
		index.record(now, "a", []uint64{block}, false)
	}
	if held := len(index.newer) + len(index.older); held > maxIndexBlocks {
		t.Fatalf("index holds %d blocks, bound %d", held, maxIndexBlocks)
	}
	if got := index.matchReplica(now, "a", []uint64{3*maxIndexBlocks - 1}); got.blocks != 1 {
		t.Fatal("the latest block is not in the index")
	}
}

func TestPickPowerOfTwoAvoidsTheWorst(t *testing.T) {
	candidates := []candidate{{cost: 1}, {cost: 2}, {cost: 3}}
	for range 500 {
		if chosen := pickPowerOfTwo(&Request{}, candidates); chosen.cost == 3 {
			t.Fatal("picked the most expensive of three candidates")
		}
	}
}
