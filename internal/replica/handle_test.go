package replica

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestOccupancy(t *testing.T) {
	now := time.Unix(1000, 0)
	handle := NewHandle(Info{ID: "a", Slots: 8})
	handle.Acquire()
	handle.NoteLoad(Load{Running: 5, Waiting: 1, Slots: 8}, now)
	if got := handle.Occupancy(now); got != 6 {
		t.Errorf("occupancy %f right after the replica reported 6", got)
	}
	release := handle.Acquire()
	if got := handle.Occupancy(now); got != 7 {
		t.Errorf("occupancy %f after one more request, want 7", got)
	}
	release()
	handle.SetOthers(Use{Requests: 3}, now.Add(time.Second))
	if got := handle.Occupancy(now.Add(time.Second)); got < 4 || got >= 6 {
		t.Errorf("occupancy %f with 3 requests of other nodes, want 4 plus a fraction of those that only the replica reported", got)
	}
	if got := handle.Occupancy(now.Add(time.Minute)); got != 1 {
		t.Errorf("occupancy %f after all reports are stale, want this process's 1", got)
	}
}

// TestWhatFailsOthersIsAvoided checks that a replica that fails several other nodes is avoided and its slots do not count, unless it has
// just responded to this process; failures on a single other node have no effect.
func TestWhatFailsOthersIsAvoided(t *testing.T) {
	for _, test := range []struct {
		name           string
		others         int
		own            int
		answered       bool
		age            time.Duration
		avoided, slots bool
	}{
		{"nobody", 0, 0, false, 0, false, true},
		{"one other node", 1, 0, false, 0, false, true},
		{"two other nodes", 2, 0, false, 0, true, false},
		{"two other nodes, while it answers here", 2, 0, true, 0, false, true},
		{"two other nodes, long ago", 2, 0, false, time.Second, false, true},
		{"one failure here", 0, 1, false, 0, true, true},
		{"two failures here", 0, 2, false, 0, true, false},
		{"failures here and then an answer", 0, 3, true, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Second)
				directory := NewDirectory()
				directory.Replace([]Info{{ID: "a", Service: "s", Slots: 6}})
				handle := directory.View().Find("a")
				for range test.own {
					handle.Failed(time.Now())
				}
				if test.answered {
					handle.NoteAnswer()
					handle.Succeeded()
				}
				handle.SetOthers(Use{Avoiding: test.others}, time.Now())
				now := time.Now().Add(test.age)
				if handle.Avoided(now) != test.avoided || (directory.View().WorkingSlots("s", now) == 6) != test.slots {
					t.Errorf("avoided %t, %d working slots", handle.Avoided(now), directory.View().WorkingSlots("s", now))
				}
				if want := test.own > 0 && !test.answered; (handle.Use().Avoiding == 1) != want {
					t.Errorf("use reported to other nodes is %+v", handle.Use())
				}
			})
		})
	}
}
