package quota

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// ranking is who may grant for a tenant, by one view of the members.
type ranking struct {
	// edges are the live edges, the grantor first, then those that stand in for it in turn.
	edges []membership.Member
	// self is this node's place among them; -1 where it has none.
	self int
	// leaving are the edges that are stopping. They serve on for a while and may have granted.
	leaving []membership.Member
	// share is the part that live edges are of all known ones, the dead among them, which may be cut off and grant on their side.
	share float64
	// known is the number of all known edges.
	known int
}

// rank ranks the edges for a tenant by rendezvous hashing, so that a change of members moves only the tenants of those who came or went.
func rank(view *membership.View, tenantName string) ranking {
	found := ranking{self: -1}
	type weighted struct {
		member *membership.Member
		weight uint64
	}
	var live []weighted
	alive := 0
	for index := range view.Members {
		member := &view.Members[index]
		if member.Store {
			continue
		}
		found.known++
		if member.State == membership.Dead {
			continue
		}
		alive++
		if member.State == membership.Leaving {
			found.leaving = append(found.leaving, *member)
			continue
		}
		live = append(live, weighted{member, xxhash.Sum64String(tenantName + "\x00" + string(member.ID))})
	}
	slices.SortFunc(live, func(one, other weighted) int {
		return cmp.Or(-cmp.Compare(one.weight, other.weight), cmp.Compare(one.member.ID, other.member.ID))
	})
	for place, each := range live {
		if each.member.ID == view.Self {
			found.self = place
		}
		found.edges = append(found.edges, *each.member)
	}
	found.share = float64(alive) / float64(max(1, found.known))
	return found
}

// formerGrantors returns the edges that may have granted until this one began to: those that are stopping, and up to successors behind it
// in rank, which stood in for it.
func (r ranking) formerGrantors(successors int) []membership.Member {
	behind := r.edges[r.self+1:]
	return append(slices.Clone(r.leaving), behind[:min(successors, len(behind))]...)
}

// rankings keeps the rankings by the last view of the members. It is safe for concurrent use.
type rankings struct {
	mutex    sync.Mutex
	view     *membership.View
	byTenant map[string]ranking
}

func (r *rankings) of(view *membership.View, tenantName string) ranking {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.view != view {
		r.view, r.byTenant = view, map[string]ranking{}
	}
	found, known := r.byTenant[tenantName]
	if !known {
		found = rank(view, tenantName)
		r.byTenant[tenantName] = found
	}
	return found
}

// others returns the live edges other than this one, those that follow it in rank first.
func (r ranking) others() []membership.Member {
	if r.self < 0 {
		return r.edges
	}
	return append(slices.Clone(r.edges[r.self+1:]), r.edges[:r.self]...)
}
