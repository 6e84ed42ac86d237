package job

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// drawRecord draws a record for one of a few jobs, items and keys, so that records often
// repeat.
func drawRecord(t *rapid.T) ledger.Record {
	job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
	index := rapid.Uint32Range(0, 3).Draw(t, "index")
	recordedAt := rapid.Int64Range(1, 1000).Draw(t, "at")
	requestID := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "request")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return encodeRecord(ledger.KindJobAccepted, &jobpb.JobAccepted{
			Id: job, Total: 4, AcceptedAtMicros: recordedAt, ChunkPositions: []uint64{1}, ChunkItems: []uint32{4},
		})
	case 1, 2, 3:
		result := rapid.SampledFrom([]outcome.Outcome{outcome.Completed, outcome.Failed, outcome.Indeterminate}).Draw(t, "outcome")
		return encodeRecord(ledger.KindItemCompleted, &jobpb.ItemCompleted{
			JobId: job, Index: index, RecordedAtMicros: recordedAt,
			Result: &jobpb.ItemResult{Index: index, Outcome: string(result)},
		})
	case 4:
		return encodeRecord(ledger.KindItemAttempt, &jobpb.ItemAttempt{JobId: job, Index: index, RequestId: requestID})
	case 5:
		if rapid.Bool().Draw(t, "expired") {
			return encodeRecord(ledger.KindJobExpired, &jobpb.JobExpired{JobId: job, RecordedAtMicros: recordedAt})
		}
		return encodeRecord(ledger.KindJobCancelled, &jobpb.JobCancelled{JobId: job, RecordedAtMicros: recordedAt})
	case 6:
		return encodeRecord(ledger.KindKeyClaimed, &jobpb.KeyClaimed{
			Tenant: "t", Key: job, RequestId: requestID, Replica: fmt.Sprint(index),
		})
	case 7:
		return encodeRecord(ledger.KindKeyCompleted, &jobpb.KeyCompleted{Tenant: "t", Key: job, RecordedAtMicros: recordedAt})
	default:
		return encodeRecord(kindChunk, &jobpb.Chunk{
			UploadId: job, Sequence: index, Items: 1, Data: []byte("{}"), RecordedAtMicros: recordedAt,
		})
	}
}

// TestPartitionStateProperties checks that the first result of an item and the first claim
// of a key are kept, that results do not change after the end of a job, that the counts add
// up, and that a state restored from a snapshot at any point stays equal to the original.
func TestPartitionStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, follower := newPartitionState(), newPartitionState()
		claims := make(map[string]string)
		for position := range rapid.IntRange(1, 60).Draw(t, "records") {
			record := drawRecord(t)
			before := entriesOf(state)
			for _, machine := range []*partitionState{state, follower} {
				if _, err := machine.step(ledger.Position(position+1), record); err != nil {
					t.Fatal(err)
				}
			}
			checkEntries(t, state, before)
			for name, key := range state.keys {
				if first, known := claims[name]; known && first != key.claimed.GetRequestId() {
					t.Fatalf("key %q went from %s to %s", name, first, key.claimed.GetRequestId())
				}
				claims[name] = key.claimed.GetRequestId()
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				follower = roundTrip(t, follower)
			}
		}
		if diff := gocmp.Diff(snapshotOf(t, state), snapshotOf(t, follower), protocmp.Transform(),
			protocmp.SortRepeated(func(a, b *jobpb.JobSnapshot) bool { return a.GetAccepted().GetId() < b.GetAccepted().GetId() }),
			protocmp.SortRepeated(func(a, b *jobpb.KeySnapshot) bool { return a.GetClaimed().GetKey() < b.GetClaimed().GetKey() }),
			protocmp.SortRepeated(func(a, b *jobpb.ItemAttempt) bool { return a.GetIndex() < b.GetIndex() }),
			protocmp.SortRepeated(func(a, b *jobpb.UploadSnapshot) bool { return a.GetId() < b.GetId() }),
			protocmp.SortRepeated(func(a, b *jobpb.Tombstone) bool { return a.GetId() < b.GetId() }),
		); diff != "" {
			t.Fatal(diff)
		}
	})
}

// jobEntries is a copy of the item entries of a job.
type jobEntries struct {
	live    bool
	entries []itemEntry
}

func entriesOf(state *partitionState) map[string]jobEntries {
	copied := make(map[string]jobEntries)
	for id, job := range state.jobs {
		copied[id] = jobEntries{job.live(), append([]itemEntry(nil), job.entries...)}
	}
	return copied
}

func checkEntries(t *rapid.T, state *partitionState, before map[string]jobEntries) {
	for id, job := range state.jobs {
		closed := 0
		for index, entry := range job.entries {
			if entry.class() != classOpen {
				closed++
			}
			previous, known := before[id]
			if known && entry != previous.entries[index] && (!previous.live || previous.entries[index].class() != classOpen) {
				t.Fatalf("job %s item %d went from %d to %d", id, index, previous.entries[index], entry)
			}
			if entry.class() != classOpen && state.keepFrom() > entry.position() {
				t.Fatalf("keepFrom %d drops the result at %d", state.keepFrom(), entry.position())
			}
		}
		if job.completed+job.failed != closed || (job.phase == PhaseCompleted) != (closed == len(job.entries)) {
			t.Fatalf("job %s is %s with %d+%d of %d", id, job.phase, job.completed, job.failed, closed)
		}
	}
}

func roundTrip(t *rapid.T, state *partitionState) *partitionState {
	encoded, err := state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := restorePartitionState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func snapshotOf(t *rapid.T, state *partitionState) *jobpb.Snapshot {
	encoded, err := state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	message := new(jobpb.Snapshot)
	if err := proto.Unmarshal(encoded, message); err != nil {
		t.Fatal(err)
	}
	return message
}

// TestDispatchCoreProperties checks that an item is never in flight twice, that the node's
// limit holds, that no item of a removed job is started, that the better job of a service
// goes first, and that every item of the other jobs is completed exactly once.
func TestDispatchCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		core := newDispatchCore(limit)
		inFlight := make(map[itemKey]bool) // true once it runs
		done := make(map[itemKey]int)
		var jobs []*dispatchJob
		step := func(event dispatchEvent) {
			for _, action := range core.step(event) {
				start, is := action.(startItem)
				if !is {
					continue
				}
				if _, started := inFlight[start.key]; started || done[start.key] > 0 || start.key.job.removed {
					t.Fatalf("item %d of %s started again", start.key.index, start.key.job.id)
				}
				inFlight[start.key] = false
				for _, other := range jobs {
					if other.service == start.key.job.service && other.rank > start.key.job.rank && !other.removed &&
						len(other.requeued) > 0 && event != dispatchEvent(jobAdded{other}) {
						t.Fatalf("%s started before %s", start.key.job.id, other.id)
					}
				}
			}
			if len(inFlight) > limit || core.running+core.waiting != len(inFlight) {
				t.Fatalf("%d in flight, core counts %d+%d", len(inFlight), core.running, core.waiting)
			}
		}
		endRun := func(key itemKey, requeue *itemProgress) {
			delete(inFlight, key)
			if requeue == nil {
				done[key]++
			}
			step(itemRunEnded{key, requeue})
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			key, found := pickInFlight(t, inFlight)
			switch choice := rapid.IntRange(0, 5).Draw(t, "event"); {
			case choice == 0 && len(jobs) < 6:
				job := &dispatchJob{
					id: fmt.Sprintf("job-%d", len(jobs)), service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
					rank: rapid.IntRange(0, 2).Draw(t, "rank"), total: rapid.IntRange(1, 8).Draw(t, "total"),
					deadline: time.Unix(int64(len(jobs)), 0),
				}
				jobs = append(jobs, job)
				step(jobAdded{job})
			case choice == 1 && len(jobs) > 0 && rapid.IntRange(0, 4).Draw(t, "remove") == 0:
				step(jobRemoved{jobs[len(jobs)-1]})
			case choice <= 3 && found && !inFlight[key]:
				inFlight[key] = true
				step(itemGranted{key})
			case choice == 4 && found:
				endRun(key, &itemProgress{})
			case found:
				endRun(key, nil)
			}
		}
		for len(inFlight) > 0 {
			key, _ := pickInFlight(t, inFlight)
			endRun(key, nil)
		}
		for _, job := range jobs {
			for index := range job.total {
				if count := done[itemKey{job, index}]; !job.removed && count != 1 {
					t.Fatalf("item %d of %s was done %d times", index, job.id, count)
				}
			}
		}
	})
}

// pickInFlight draws one of the items in flight, in a fixed order.
func pickInFlight(t *rapid.T, inFlight map[itemKey]bool) (itemKey, bool) {
	var keys []itemKey
	for key := range inFlight {
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return itemKey{}, false
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(strings.Compare(a.job.id, b.job.id), a.index-b.index)
	})
	return rapid.SampledFrom(keys).Draw(t, "item"), true
}
