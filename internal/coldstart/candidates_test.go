package coldstart

import (
	"fmt"
	"testing"

	"github.com/sloelift/sloelift/internal/membership"
)

// testMembers returns edges spread evenly over three zones, and as many storage nodes.
func testMembers(edges int) []membership.Member {
	var members []membership.Member
	for number := range edges {
		zone := fmt.Sprintf("z%d", number%3)
		members = append(members,
			membership.Member{ID: membership.NodeID(fmt.Sprintf("edge-%02d", number)), Zone: zone},
			membership.Member{ID: membership.NodeID(fmt.Sprintf("store-%02d", number)), Zone: zone, Store: true})
	}
	return members
}

func TestEachPassHasOneCandidateWhereViewsAgree(t *testing.T) {
	t.Parallel()
	members := testMembers(30)
	holders := map[int]membership.NodeID{}
	for _, member := range members {
		if member.Store {
			continue
		}
		number, held := passNumber(&membership.View{Self: member.ID, Members: members}, "r", "z1", 9)
		if !held {
			continue
		}
		if other, taken := holders[number]; taken {
			t.Errorf("pass %d is for %s and %s", number, other, member.ID)
		}
		holders[number] = member.ID
		if member.Zone != "z1" {
			t.Errorf("%s of %s holds a pass although the replica's zone has enough edges", member.ID, member.Zone)
		}
	}
	if len(holders) != 9 {
		t.Errorf("%d passes have a candidate, want 9", len(holders))
	}
}

func TestEdgesThatAreNotAliveAreNoCandidates(t *testing.T) {
	t.Parallel()
	for _, state := range []membership.State{membership.Leaving, membership.Suspect, membership.Dead} {
		members := testMembers(4)
		for index := range members {
			if members[index].ID != "edge-03" {
				members[index].State = state
			}
		}
		number, held := passNumber(&membership.View{Self: "edge-03", Members: members}, "r", "z1", 1)
		if number != 0 || !held {
			t.Errorf("state %d: the only live edge has place %d, held %t", state, number, held)
		}
	}
}
