package quota

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// ranking is the order of the edges that may grant for a tenant, in one view of the membership.
type ranking struct {
	// edges are the live edges: the grantor first, then those that stand in for it, in order.
	edges []membership.Member
	// selfIndex is this node's index in edges; -1 if it is not among them.
	selfIndex int
	// leaving are the edges that are stopping. They still serve for a while and may have granted.
	leaving []membership.Member
	// liveShare is the fraction of the known edges that are alive. The known ones include the dead, which may be partitioned off and grant
	// on their side.
	liveShare float64
	// knownCount is the number of known edges, dead or alive.
	knownCount int
}

// rank orders the edges for a tenant by rendezvous hashing, so that a membership change moves only the tenants of the edges that joined or
// left.
func rank(view *membership.View, tenantName string) ranking {
	ranked := ranking{selfIndex: -1}
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
		ranked.knownCount++
		if member.State == membership.Dead {
			continue
		}
		alive++
		if member.State == membership.Leaving {
			ranked.leaving = append(ranked.leaving, *member)
			continue
		}
		live = append(live, weighted{member, xxhash.Sum64String(tenantName + "\x00" + string(member.ID))})
	}
	slices.SortFunc(live, func(a, b weighted) int {
		return cmp.Or(-cmp.Compare(a.weight, b.weight), cmp.Compare(a.member.ID, b.member.ID))
	})
	for position, candidate := range live {
		if candidate.member.ID == view.Self {
			ranked.selfIndex = position
		}
		ranked.edges = append(ranked.edges, *candidate.member)
	}
	ranked.liveShare = float64(alive) / float64(max(1, ranked.knownCount))
	return ranked
}

// formerGrantors returns the edges that may have granted before this one: those that are leaving, and the next edges in rank, at most
// successors of them, which may have stood in for it.
func (r ranking) formerGrantors(successors int) []membership.Member {
	lowerRanked := r.edges[r.selfIndex+1:]
	return append(slices.Clone(r.leaving), lowerRanked[:min(successors, len(lowerRanked))]...)
}

// rankings caches the rankings of the latest membership view. It is safe for concurrent use.
type rankings struct {
	mutex    sync.Mutex
	view     *membership.View
	byTenant map[string]ranking
}

func (r *rankings) get(view *membership.View, tenantName string) ranking {
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

// others returns the live edges other than this one, the lower-ranked ones first.
func (r ranking) others() []membership.Member {
	if r.selfIndex < 0 {
		return r.edges
	}
	return append(slices.Clone(r.edges[r.selfIndex+1:]), r.edges[:r.selfIndex]...)
}
