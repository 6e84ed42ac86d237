package roster

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// A replica that left the part while it is listed and has requests of this node stays in the
// directory without new requests until these end. One that left the list is removed at once.
func TestPassedOverReplicaKeepsItsRequests(t *testing.T) {
	directory := replica.NewDirectory()
	keeper := NewKeeper(directory)
	elsewhere := map[string]int{"s": 800}
	keeper.Replace([]replica.Info{infoOf(1), infoOf(2), infoOf(3)}, elsewhere, false)
	busy, gone := directory.View().Find(infoOf(1).ID), directory.View().Find(infoOf(2).ID)
	release := busy.Acquire()
	gone.Acquire()
	keeper.Update([]replica.Info{infoOf(4)}, []string{infoOf(2).ID}, []string{infoOf(1).ID}, elsewhere)
	if directory.View().Find(infoOf(1).ID) != busy || busy.Usable() {
		t.Error("the passed-over replica was removed or still accepts requests")
	}
	if directory.View().Find(infoOf(2).ID) != nil || gone.Usable() {
		t.Error("the replica that left the list is still in the directory")
	}
	release()
	keeper.Update(nil, nil, nil, elsewhere)
	if directory.View().Find(infoOf(1).ID) != nil || directory.View().Len() != 2 {
		t.Errorf("%d replicas after the last request ended, want 2 without the passed-over one", directory.View().Len())
	}
	if slots := directory.View().Slots("s"); slots != 2*testSlots+800 {
		t.Errorf("%d slots of all replicas, want those of 2 replicas and 800 elsewhere", slots)
	}
}

// A replica that was passed over is used again once it is back in the part.
func TestPassedOverReplicaComesBack(t *testing.T) {
	directory := replica.NewDirectory()
	keeper := NewKeeper(directory)
	keeper.Replace([]replica.Info{infoOf(1), infoOf(2)}, nil, false)
	handle := directory.View().Find(infoOf(1).ID)
	handle.Acquire()
	keeper.Replace([]replica.Info{infoOf(2)}, nil, false)
	keeper.Replace([]replica.Info{infoOf(1), infoOf(2)}, nil, false)
	if directory.View().Find(infoOf(1).ID) != handle || !handle.Usable() {
		t.Error("a replica that is back in the part does not accept requests")
	}
}

// A node doubles the width while more than half of its known slots are taken, and halves it after a
// long time of low use.
func TestWidthFollowsTheNeed(t *testing.T) {
	now := time.Unix(1000, 0)
	width := newWidth()
	for _, step := range []struct {
		use   use
		after time.Duration
		want  int
	}{
		{use{}, 0, MinWidth},
		{use{slots: 100, taken: 40, more: true}, time.Second, MinWidth},
		{use{slots: 100, taken: 60, more: true}, time.Second, 2 * MinWidth},
		{use{slots: 200, taken: 120, more: true}, time.Second, 4 * MinWidth},
		{use{slots: 400, taken: 300, more: false}, time.Second, 4 * MinWidth},
		{use{slots: 400, taken: 10, more: true}, time.Second, 4 * MinWidth},
		{use{slots: 400, taken: 100, more: true}, narrowAfter, 4 * MinWidth},
		{use{slots: 400, taken: 10, more: true}, time.Second, 4 * MinWidth},
		{use{slots: 400, taken: 10, more: true}, narrowAfter, 2 * MinWidth},
		{use{slots: 200, taken: 0, more: true}, narrowAfter, MinWidth},
		{use{slots: 100, taken: 0, more: true}, narrowAfter, MinWidth},
	} {
		now = now.Add(step.after)
		if got := width.next(step.use, now); got != step.want {
			t.Errorf("width %d for %+v, want %d", got, step.use, step.want)
		}
	}
}
