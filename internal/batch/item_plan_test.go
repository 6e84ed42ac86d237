package batch

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

func TestPlanGivesUpWhatCannotBeInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	type input struct {
		dueIn, remaining time.Duration
		started          bool
	}
	for _, test := range []struct {
		name  string
		slots float64
		items []input
		late  []bool
	}{
		{"all fit", 2, []input{{10 * time.Second, 5 * time.Second, false}, {10 * time.Second, 5 * time.Second, false}}, []bool{false, false}},
		{"alone it would be late", 9, []input{{3 * time.Second, 5 * time.Second, true}}, []bool{true}},
		{
			"the last due is given up, however long the others are", 1,
			[]input{{6 * time.Second, 4 * time.Second, false}, {7 * time.Second, 3 * time.Second, false}, {8 * time.Second, 3 * time.Second, false}},
			[]bool{false, false, true},
		},
		{
			"what has begun is kept", 1,
			[]input{{6 * time.Second, 4 * time.Second, false}, {7 * time.Second, 3 * time.Second, false}, {8 * time.Second, 3 * time.Second, true}},
			[]bool{false, true, false},
		},
		{
			"what has begun is given up last", 1,
			[]input{{6 * time.Second, 4 * time.Second, true}, {7 * time.Second, 4 * time.Second, true}, {8 * time.Second, time.Second, false}},
			[]bool{false, true, false},
		},
		{"without a due time", 1, []input{{0, time.Hour, false}}, []bool{false}},
	} {
		items := make([]candidate, 0, len(test.items))
		for _, planned := range test.items {
			item := candidate{remaining: planned.remaining, started: planned.started}
			if planned.dueIn > 0 {
				item.due = now.Add(planned.dueIn)
			}
			items = append(items, item)
		}
		markLate(items, now, test.slots)
		for index, item := range items {
			if item.late != test.late[index] {
				t.Errorf("%s: item %d is late %v, want %v", test.name, index, item.late, test.late[index])
			}
		}
	}
}

// TestPlannedItemsFit checks that the items that a plan does not mark late can be done in the order of their due times.
func TestPlannedItemsFit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.Float64Range(1, 20).Draw(r, "slots")
		items := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) candidate {
			return candidate{
				due: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(r, "due")) * time.Second), started: rapid.Bool().Draw(r, "begun"),
				remaining: time.Duration(rapid.IntRange(1, 9000).Draw(r, "left")) * time.Millisecond,
			}
		}), 0, 40).Draw(r, "items")
		markLate(items, now, slots)
		for _, last := range items {
			work := 0.0
			for _, item := range items {
				if !item.late && !item.due.After(last.due) {
					work += item.remaining.Seconds()
				}
			}
			if !last.late && work/slots > last.due.Sub(now).Seconds()+1e-6 {
				r.Fatalf("%f s of work on %f slots until %s", work, slots, last.due.Sub(now))
			}
		}
	})
}

func TestPaceIsLearnt(t *testing.T) {
	pace := &itemPace{}
	if left := pace.remaining(1000, 0); left != 1000*defaultTimePerToken {
		t.Errorf("%s left before any item has finished", left)
	}
	for range 200 {
		pace.observe(finishedItem{tokens: 500, text: 2000, runTime: 5 * time.Second})
	}
	if left := pace.remaining(1000, 0); left < 9900*time.Millisecond || left > 10100*time.Millisecond {
		t.Errorf("%s left of an item twice as large as those of 5 s", left)
	}
	if left := pace.remaining(1000, 2000); left < 4900*time.Millisecond || left > 5100*time.Millisecond {
		t.Errorf("%s left with half of the text generated", left)
	}
	if left := pace.remaining(1000, 9000); left <= 0 {
		t.Errorf("%s left of an item that has generated more text than others", left)
	}
}

func TestCapacityFollowsTheRoom(t *testing.T) {
	capacity := &slotCapacity{}
	began := time.Now()
	if !math.IsInf(capacity.slots(), 1) {
		t.Errorf("%f slots before the first observation", capacity.slots())
	}
	capacity.observe(0, 100, began)
	if capacity.mean != 100 {
		t.Errorf("%f after the first observation, want all slots", capacity.mean)
	}
	for at := time.Duration(0); at < 60*time.Second; at += 100 * time.Millisecond {
		capacity.observe(20, 100, began.Add(at))
		if at == 4*time.Second && (capacity.mean < 25 || capacity.mean > 45) {
			t.Errorf("%f after 4 s of 20, want between 25 and 45", capacity.mean)
		}
	}
	if capacity.mean < 20 || capacity.mean > 21 {
		t.Errorf("%f after a minute of 20", capacity.mean)
	}
}

// TestItemsInTimeGoBeforeLateOnes checks that an owner with a backlog does not start with items that will be late anyway.
func TestItemsInTimeGoBeforeLateOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Refuse()))
		owner.mustSubmit(t, testSubmission("old", 3))
		time.Sleep(20 * time.Second)
		owner.mustSubmit(t, testSubmission("new", 3))
		table := testTableDue(18 * time.Second)
		// The items are sent, and refused, at the next plan.
		time.Sleep(pauseAfterRefusal + minPlanInterval)
		owner.mutex.Lock()
		owner.inTimeSinceLate = 0
		owner.mutex.Unlock()
		found := owner.candidates(table)
		if len(found) != 6 || found[0].key.job != "new" || found[0].late || !found[5].late || found[5].key.job != "old" {
			t.Errorf("order is %v", jobIDs(found))
		}
		owner.mutex.Lock()
		owner.inTimeSinceLate = inTimePerLate
		owner.mutex.Unlock()
		if found := owner.candidates(table); found[0].key.job != "old" {
			t.Errorf("after %d items in time the order is %v, want a late one first", inTimePerLate, jobIDs(found))
		}
		owner.stop()
	})
}

func jobIDs(found []candidate) (jobs []string) {
	for _, item := range found {
		jobs = append(jobs, item.key.job)
	}
	return jobs
}

func testTableDue(target time.Duration) *route.Table {
	return route.NewTable(2, []*route.Route{{
		Name: "r", Host: testHost, Prefix: "/p/", Kind: route.Batch, Attempts: 3, CompletionTarget: target, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{})
}

// TestLateRunGivesWay checks that a run that will be late is cut off for an item that can be in time, and that its text is kept.
func TestLateRunGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, true, eventOne)))
		owner.routes.Offer(testTableDue(5 * time.Second))
		owner.mustSubmit(t, testSubmission("old", 4))
		time.Sleep(4 * time.Second)
		owner.mustSubmit(t, testSubmission("new", 1))
		time.Sleep(1500 * time.Millisecond)
		owner.mutex.RLock()
		run := owner.runs[itemKey{job: "new"}]
		running := run != nil && run.running
		owner.mutex.RUnlock()
		if !running {
			t.Error("the new item waits behind late ones")
		}
		if owner.state.jobs["old"].items[0].state == batchpb.State_STATE_DEAD_LETTER {
			t.Error("a late item was given up")
		}
		owner.stop()
	})
}
