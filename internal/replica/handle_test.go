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
		t.Errorf("%f right after the replica told of 6", got)
	}
	release := handle.Acquire()
	if got := handle.Occupancy(now); got != 7 {
		t.Errorf("%f after one more, want 7", got)
	}
	release()
	handle.SetOthers(Use{Requests: 3}, now.Add(time.Second))
	if got := handle.Occupancy(now.Add(time.Second)); got < 4 || got >= 6 {
		t.Errorf("%f with 3 of others: want 4 and a part of what only the replica told of", got)
	}
	if got := handle.Occupancy(now.Add(time.Minute)); got != 1 {
		t.Errorf("%f after all was heard long ago, want its own one", got)
	}
}

// TestWhatFailsOthersIsAvoided: a replica that fails several other nodes is avoided and its slots do not count, unless it has just answered
// this process; one other node's failures are no reason.
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
					t.Errorf("avoided %t, slots %d", handle.Avoided(now), directory.View().WorkingSlots("s", now))
				}
				if wants := test.own > 0 && !test.answered; (handle.Use().Avoiding == 1) != wants {
					t.Errorf("reported as %+v", handle.Use())
				}
			})
		})
	}
}
