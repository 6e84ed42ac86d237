package zonerelay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sloelift/sloelift/internal/membership"
)

// viewOf returns a view with perZone members in each of three zones; every fifth has a data folder.
func viewOf(perZone int) *membership.View {
	view := &membership.View{Self: "z1-000"}
	for _, zone := range []string{"z1", "z2", "z3"} {
		for number := range perZone {
			view.Members = append(view.Members, membership.Member{
				ID: membership.NodeID(fmt.Sprintf("%s-%03d", zone, number)), Zone: zone, Store: number%5 == 4,
			})
		}
	}
	return view
}

func idsOf(members []membership.Member) (ids []membership.NodeID) {
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// Each zone has two relays, both with data folders, whatever its size.
func TestEachZoneHasTwoRelaysWithDataFolders(t *testing.T) {
	for _, perZone := range []int{20, 400} {
		relays := Select(viewOf(perZone))
		if zones := relays.Zones(); !slices.Equal(zones, []string{"z1", "z2", "z3"}) {
			t.Errorf("zones %v, want z1, z2 and z3", zones)
		}
		for _, zone := range relays.Zones() {
			chosen := relays.InZone(zone)
			if len(chosen) != RelaysPerZone {
				t.Fatalf("%d relays of zone %s, want RelaysPerZone", len(chosen), zone)
			}
			for _, relay := range chosen {
				if !relay.Store || relay.Zone != zone || !relays.IsRelay(relay.ID) {
					t.Errorf("%s of %s is selected as a relay of %s; want a member of that zone with a data folder", relay.ID, relay.Zone, zone)
				}
			}
		}
	}
}

// The loss of a relay leaves the other relay of its zone and the relays of other zones unchanged.
func TestLostRelayIsReplacedAlone(t *testing.T) {
	view := viewOf(20)
	before := Select(view)
	lost := before.InZone("z2")[0].ID
	for index := range view.Members {
		if view.Members[index].ID == lost {
			view.Members[index].State = membership.Suspect
		}
	}
	after := Select(view)
	if after.IsRelay(lost) || !after.IsRelay(before.InZone("z2")[1].ID) || len(after.InZone("z2")) != RelaysPerZone {
		t.Errorf("relays changed from %v to %v after the loss of %s", idsOf(before.InZone("z2")), idsOf(after.InZone("z2")), lost)
	}
	for _, zone := range []string{"z1", "z3"} {
		if !slices.Equal(idsOf(before.InZone(zone)), idsOf(after.InZone(zone))) {
			t.Errorf("the relays of %s changed", zone)
		}
	}
}

// In a zone without data folders any live members are relays.
func TestZoneWithoutDataFoldersHasRelays(t *testing.T) {
	view := &membership.View{Self: "b", Members: []membership.Member{
		{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z", State: membership.Dead},
	}}
	relays := Select(view)
	if !relays.SelfIsRelay() || !relays.IsRelay("a") || relays.IsRelay("c") {
		t.Errorf("relays %v, want a and b", idsOf(relays.InZone("z")))
	}
}

// First returns one of the relays, and another one once that is dead.
func TestFirstIsOneOfTheRelays(t *testing.T) {
	view := viewOf(20)
	first, found := Select(view).First()
	if !found || !first.Store || !Select(view).IsRelay(first.ID) {
		t.Fatalf("first relay %+v, found %t", first, found)
	}
	index := slices.IndexFunc(view.Members, func(member membership.Member) bool { return member.ID == first.ID })
	view.Members[index].State = membership.Dead
	if next, found := Select(view).First(); !found || next.ID == first.ID {
		t.Errorf("after the death of %s: first relay %s, found %t", first.ID, next.ID, found)
	}
	if _, found := Select(&membership.View{}).First(); found {
		t.Error("an empty view has a first relay")
	}
}
