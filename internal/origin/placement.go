package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// placement returns the other members at which the record of a request is looked for, the ones to keep it first. All nodes compute the same
// order from the same members: nodes with disks come first, each group in the order of rendezvous hashing, except that the second node is in
// another zone than the first if there is one.
func placement(view *membership.View, requestID string) []membership.Member {
	if view == nil {
		return nil
	}
	var others []membership.Member
	weights := map[membership.NodeID]uint64{}
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			others = append(others, member)
			weights[member.ID] = xxhash.Sum64String(requestID + "/" + string(member.ID))
		}
	}
	slices.SortFunc(others, func(one, other membership.Member) int {
		if one.Store != other.Store {
			return compareBool(other.Store, one.Store)
		}
		return cmp.Compare(weights[other.ID], weights[one.ID])
	})
	if len(others) == 0 {
		return nil
	}
	second := slices.IndexFunc(others, func(member membership.Member) bool {
		return member.Zone != others[0].Zone && member.Store == others[0].Store
	})
	if second > 1 {
		moved := others[second]
		others = slices.Insert(slices.Delete(others, second, second+1), 1, moved)
	}
	return others
}

// compareBool orders false before true.
func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}
