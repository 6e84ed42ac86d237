package coldstart

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// candidate is an edge that may hold a pass of a replica.
type candidate struct {
	id     membership.NodeID
	near   bool
	weight uint64
}

// placeOf returns the number of the pass that this node is to hold of a replica, by rendezvous among the live edges: those of the replica's
// zone first, whose callers want it most. held is false where it is to hold none.
func placeOf(view *membership.View, replicaID, zone string, passes int) (number int, held bool) {
	var found []candidate
	for index := range view.Members {
		member := &view.Members[index]
		if member.Store || (member.State != membership.Alive && member.ID != view.Self) {
			continue
		}
		found = append(found, candidate{
			id: member.ID, near: member.Zone == zone, weight: xxhash.Sum64String(replicaID + "\x00" + string(member.ID)),
		})
	}
	slices.SortFunc(found, func(one, other candidate) int {
		if one.near != other.near {
			if one.near {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(one.weight, other.weight), cmp.Compare(one.id, other.id))
	})
	place := slices.IndexFunc(found, func(each candidate) bool { return each.id == view.Self })
	return place, place >= 0 && place < passes
}
