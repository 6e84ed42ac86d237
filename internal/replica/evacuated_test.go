package replica

import "testing"

// TestReplicasOfEvacuatedZonesAreNotUsable also covers replicas whose entries appear or change while their zone is evacuated.
func TestReplicasOfEvacuatedZonesAreNotUsable(t *testing.T) {
	directory := NewDirectory()
	directory.Replace([]Info{{ID: "a", Service: "s", Zone: "east", Slots: 2}, {ID: "b", Service: "s", Zone: "west", Slots: 3}})
	directory.SetEvacuated(map[string]bool{"east": true})
	directory.Update([]Info{{ID: "a", Service: "s", Zone: "east", Slots: 2}, {ID: "c", Service: "s", Zone: "east", Slots: 4}}, nil)
	view := directory.View()
	if view.Find("a").Usable() || view.Find("c").Usable() || !view.Find("b").Usable() {
		t.Error("usable replicas are not exactly those outside the evacuated zone")
	}
	if slots := view.Slots("s"); slots != 3 {
		t.Errorf("%d slots, want the 3 of the remaining zone", slots)
	}
	directory.SetEvacuated(nil)
	if !view.Find("a").Usable() || !view.Find("c").Usable() {
		t.Error("replicas are not usable after the evacuation")
	}
}
