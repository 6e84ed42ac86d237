package replica

import "testing"

// TestReplicasOfEvacuatedZonesAreNotUsable: also those whose entries come or change while their zone is evacuated, until it is taken back.
func TestReplicasOfEvacuatedZonesAreNotUsable(t *testing.T) {
	directory := NewDirectory()
	directory.Replace([]Info{{ID: "a", Service: "s", Zone: "east", Slots: 2}, {ID: "b", Service: "s", Zone: "west", Slots: 3}})
	directory.SetEvacuated(map[string]bool{"east": true})
	directory.Update([]Info{{ID: "a", Service: "s", Zone: "east", Slots: 2}, {ID: "c", Service: "s", Zone: "east", Slots: 4}}, nil)
	view := directory.View()
	if view.Find("a").Usable() || view.Find("c").Usable() || !view.Find("b").Usable() {
		t.Error("usable: only replicas of zones that are not evacuated")
	}
	if slots := view.Slots("s"); slots != 3 {
		t.Errorf("%d slots, want those of the zone that is left", slots)
	}
	directory.SetEvacuated(nil)
	if !view.Find("a").Usable() || !view.Find("c").Usable() {
		t.Error("a zone that is taken back is not used")
	}
}
