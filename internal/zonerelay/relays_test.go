package zonerelay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sloelift/sloelift/internal/membership"
)

// viewOf returns a view of so many members in each of three zones, every fifth with a data folder.
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

// TestEachZoneHasTwoRelaysWithDataFolders, whatever its size.
func TestEachZoneHasTwoRelaysWithDataFolders(t *testing.T) {
	for _, perZone := range []int{20, 400} {
		relays := Of(viewOf(perZone))
		if zones := relays.Zones(); !slices.Equal(zones, []string{"z1", "z2", "z3"}) {
			t.Errorf("zones %v", zones)
		}
		for _, zone := range relays.Zones() {
			chosen := relays.InZone(zone)
			if len(chosen) != PerZone {
				t.Fatalf("%d relays of %s", len(chosen), zone)
			}
			for _, relay := range chosen {
				if !relay.Store || relay.Zone != zone || !relays.IsRelay(relay.ID) {
					t.Errorf("%s of %s is a relay of %s", relay.ID, relay.Zone, zone)
				}
			}
		}
	}
}

// TestLostRelayIsReplacedAlone: the other relay of its zone and those of other zones stay.
func TestLostRelayIsReplacedAlone(t *testing.T) {
	view := viewOf(20)
	before := Of(view)
	lost := before.InZone("z2")[0].ID
	for index := range view.Members {
		if view.Members[index].ID == lost {
			view.Members[index].State = membership.Suspect
		}
	}
	after := Of(view)
	if after.IsRelay(lost) || !after.IsRelay(before.InZone("z2")[1].ID) || len(after.InZone("z2")) != PerZone {
		t.Errorf("%v became %v after the loss of %s", idsOf(before.InZone("z2")), idsOf(after.InZone("z2")), lost)
	}
	for _, zone := range []string{"z1", "z3"} {
		if !slices.Equal(idsOf(before.InZone(zone)), idsOf(after.InZone(zone))) {
			t.Errorf("the relays of %s changed", zone)
		}
	}
}

// TestZoneWithoutDataFoldersHasRelays: any members then.
func TestZoneWithoutDataFoldersHasRelays(t *testing.T) {
	view := &membership.View{Self: "b", Members: []membership.Member{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z", State: membership.Dead}}}
	relays := Of(view)
	if !relays.SelfIsRelay() || !relays.IsRelay("a") || relays.IsRelay("c") {
		t.Errorf("relays %v", idsOf(relays.InZone("z")))
	}
}

// TestFirstIsOneOfTheRelays, the same for all nodes, and another one once it is gone.
func TestFirstIsOneOfTheRelays(t *testing.T) {
	view := viewOf(20)
	first, found := Of(view).First()
	if !found || !first.Store || !Of(view).IsRelay(first.ID) {
		t.Fatalf("first %+v, %t", first, found)
	}
	place := slices.IndexFunc(view.Members, func(member membership.Member) bool { return member.ID == first.ID })
	view.Members[place].State = membership.Dead
	if next, found := Of(view).First(); !found || next.ID == first.ID {
		t.Errorf("after %s is gone: %s, %t", first.ID, next.ID, found)
	}
	if _, found := Of(&membership.View{}).First(); found {
		t.Error("a relay of nobody")
	}
}
