package coldstart

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// candidate is an edge that may hold a pass for a replica.
type candidate struct {
	id       membership.NodeID
	sameZone bool
	weight   uint64
}

// passNumber returns the number of the pass that this node should hold for a replica. The live edges are ranked by rendezvous hashing,
// those in the replica's zone first, whose callers prefer it. held is false if the node should hold none.
func passNumber(view *membership.View, replicaID, zone string, passes int) (number int, held bool) {
	var candidates []candidate
	for index := range view.Members {
		member := &view.Members[index]
		if member.Store || (member.State != membership.Alive && member.ID != view.Self) {
			continue
		}
		candidates = append(candidates, candidate{
			id: member.ID, sameZone: member.Zone == zone, weight: xxhash.Sum64String(replicaID + "\x00" + string(member.ID)),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
	})
	rank := slices.IndexFunc(candidates, func(entry candidate) bool { return entry.id == view.Self })
	return rank, rank >= 0 && rank < passes
}
