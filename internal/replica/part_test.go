package replica

import (
	"testing"
	"time"
)

// TestSlotsOfAPart checks that slots outside a node's part count in full in Slots, and in WorkingSlots in the same proportion as those
// inside it.
func TestSlotsOfAPart(t *testing.T) {
	directory := NewDirectory()
	directory.Replace([]Info{
		{ID: "a", Service: "s", Slots: 8},
		{ID: "b", Service: "s", Slots: 8},
		{ID: "c", Service: "s", Slots: 8, Draining: true},
	})
	if directory.View().IsPartial() {
		t.Error("a directory of all replicas counts as partial")
	}
	directory.SetUnlistedSlots(map[string]int{"s": 800, "t": 0})
	now := time.Now()
	if view := directory.View(); !view.IsPartial() || view.Slots("s") != 816 || view.WorkingSlots("s", now) != 816 {
		t.Errorf("%d slots, %d of them working, or not counted as partial; want 816 of both",
			view.Slots("s"), view.WorkingSlots("s", now))
	}
	for range downAfter {
		directory.View().Find("a").Failed(now)
	}
	if view := directory.View(); view.WorkingSlots("s", now) != 408 {
		t.Errorf("%d working slots with one of two replicas down, want 408", view.WorkingSlots("s", now))
	}
	directory.Replace([]Info{{ID: "a", Service: "s", Slots: 8}})
	if view := directory.View(); view.Slots("s") != 808 {
		t.Errorf("%d slots after the part changed, want 808", view.Slots("s"))
	}
	directory.SetUnlistedSlots(nil)
	if view := directory.View(); view.Slots("s") != 8 || view.IsPartial() {
		t.Errorf("%d slots without unlisted ones, want 8, or counted as partial", view.Slots("s"))
	}
}
