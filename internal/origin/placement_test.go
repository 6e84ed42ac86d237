package origin

import (
	"fmt"
	"testing"

	"github.com/sloelift/sloelift/internal/membership"
)

// viewOfSize returns a view of self with storage nodes and edges in three zones, without the member left out.
func viewOfSize(self string, stores, edges int, leftOut string) *membership.View {
	view := &membership.View{Self: membership.NodeID(self)}
	for number := range stores + edges {
		name := fmt.Sprintf("edge-%d", number)
		if number < stores {
			name = fmt.Sprintf("store-%d", number)
		}
		if name != leftOut {
			view.Members = append(view.Members, membership.Member{ID: membership.NodeID(name), Zone: fmt.Sprintf("zone-%d", number%3), Store: number < stores})
		}
	}
	return view
}

// TestPlacement checks that all nodes place a record in the same order, at storage nodes in two zones first, evenly, and that a lost member
// moves only its own records.
func TestPlacement(t *testing.T) {
	const count = 2000
	at := newKeepers(viewOfSize("edge-9", 6, 10, ""))
	elsewhere := newKeepers(viewOfSize("edge-10", 6, 10, ""))
	without := newKeepers(viewOfSize("edge-9", 6, 10, "store-3"))
	held := map[membership.NodeID]int{}
	for number := range count {
		chosen := at.placement(requestID(number), maxAsked)
		if len(chosen) != maxAsked || !chosen[0].Store || !chosen[1].Store || chosen[0].Zone == chosen[1].Zone {
			t.Fatalf("request %d is placed at %v", number, chosen)
		}
		other := elsewhere.placement(requestID(number), maxAsked)
		for index := range chosen {
			if chosen[index].ID != other[index].ID {
				t.Fatalf("two nodes place request %d at %v and %v", number, chosen, other)
			}
		}
		for _, member := range chosen[:copies] {
			held[member.ID]++
		}
		if left := without.placement(requestID(number), copies); chosen[0].ID != "store-3" && chosen[1].ID != "store-3" &&
			(left[0].ID != chosen[0].ID || left[1].ID != chosen[1].ID) {
			t.Fatalf("without store-3 request %d moves from %v to %v", number, chosen[:copies], left)
		}
	}
	for id, records := range held {
		if mean := float64(copies*count) / 6; float64(records) < 0.7*mean || float64(records) > 1.4*mean {
			t.Errorf("%s holds %d of %d records", id, records, copies*count)
		}
	}
	few := newKeepers(viewOfSize("edge-9", 1, 3, "")).placement("r", maxAsked)
	if len(few) != 4 || !few[0].Store || few[1].Store {
		t.Errorf("with one storage node and three edges: %v", few)
	}
	if none := newKeepers(nil).placement("r", maxAsked); len(none) != 0 {
		t.Errorf("without a view: %v", none)
	}
}
