package origin

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// keeper is a member that may keep records, with the hash of its ID.
type keeper struct {
	membership.Member
	hash uint64
}

// keepers are the other members of a view that are not dead: the nodes with disks, and the rest.
type keepers struct {
	stores, others []keeper
}

// newKeepers returns the keepers of a view.
func newKeepers(view *membership.View) *keepers {
	found := &keepers{}
	if view == nil {
		return found
	}
	for _, member := range view.Members {
		if member.ID == view.Self || member.State == membership.Dead {
			continue
		}
		added := keeper{Member: member, hash: xxhash.Sum64String(string(member.ID))}
		if member.Store {
			found.stores = append(found.stores, added)
		} else {
			found.others = append(found.others, added)
		}
	}
	return found
}

// placement returns up to count members at which the record of a request is looked for, the ones to keep it first. All nodes compute the
// same order from the same members: nodes with disks come first, each group in the order of rendezvous hashing, except that the second node
// is in another zone than the first if there is one.
func (k *keepers) placement(requestID string, count int) []membership.Member {
	hash := xxhash.Sum64String(requestID)
	chosen := appendRanked(nil, k.stores, hash, count)
	return appendRanked(chosen, k.others, hash, count)
}

// appendRanked appends the members of one group in their order for a request, until count are chosen.
func appendRanked(chosen []membership.Member, group []keeper, hash uint64, count int) []membership.Member {
	taken := make([]int, 0, count)
	for len(chosen) < count && len(taken) < len(group) {
		next := -1
		if len(chosen) == 1 {
			next = best(group, taken, hash, func(candidate *keeper) bool { return candidate.Zone != chosen[0].Zone })
		}
		if next < 0 {
			next = best(group, taken, hash, func(*keeper) bool { return true })
		}
		taken = append(taken, next)
		chosen = append(chosen, group[next].Member)
	}
	return chosen
}

// best returns the index of the member with the highest weight of those that are eligible and not taken; -1 if there is none.
func best(group []keeper, taken []int, hash uint64, eligible func(*keeper) bool) int {
	found, highest := -1, uint64(0)
	for index := range group {
		if weight := mix(hash ^ group[index].hash); found < 0 || weight > highest {
			if !slices.Contains(taken, index) && eligible(&group[index]) {
				found, highest = index, weight
			}
		}
	}
	return found
}

// mix spreads the bits of a combined hash, so that the order of the members for one request says nothing about that for another. It is the
// finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
