package replica

import (
	"testing"
	"time"
)

// TestSlotsOfAPart: the slots that a node does not know count among all, and among the working ones as far as those that it knows work.
func TestSlotsOfAPart(t *testing.T) {
	directory := NewDirectory()
	directory.Replace([]Info{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8}, {ID: "c", Service: "s", Slots: 8, Draining: true}})
	if directory.View().KnowsPart() {
		t.Error("a directory of all replicas counts as a part")
	}
	directory.SetElsewhere(map[string]int{"s": 800, "t": 0})
	now := time.Now()
	if view := directory.View(); !view.KnowsPart() || view.Slots("s") != 816 || view.WorkingSlots("s", now) != 816 {
		t.Errorf("%d slots, %d of them working", view.Slots("s"), view.WorkingSlots("s", now))
	}
	for range downAfter {
		directory.View().Find("a").Failed(now)
	}
	if view := directory.View(); view.WorkingSlots("s", now) != 408 {
		t.Errorf("%d working slots where one of two replicas is down, want half", view.WorkingSlots("s", now))
	}
	directory.Replace([]Info{{ID: "a", Service: "s", Slots: 8}})
	if view := directory.View(); view.Slots("s") != 808 {
		t.Errorf("%d slots after a change of the part", view.Slots("s"))
	}
	directory.SetElsewhere(nil)
	if view := directory.View(); view.Slots("s") != 8 || view.KnowsPart() {
		t.Errorf("%d slots of all replicas", view.Slots("s"))
	}
}
