package replica

import (
	"testing"
	"time"
)

func TestOccupancy(t *testing.T) {
	now := time.Unix(1000, 0)
	handle := NewHandle(Info{ID: "a", Slots: 8})
	handle.Acquire()
	handle.Tell(Load{Running: 5, Waiting: 1, Slots: 8}, now)
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
