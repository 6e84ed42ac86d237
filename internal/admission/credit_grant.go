package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/routing"
)

// requesterDemand is what one node has waiting, as it last told.
type requesterDemand struct {
	sequence uint64
	heardAt  time.Time
	groups   []*admissionpb.DemandGroup
}

func (h *homeState) onDemand(now time.Time, demand *admissionpb.Demand) {
	known := h.demands[demand.GetRequester()]
	if known != nil && known.sequence >= demand.GetSequence() && now.Sub(known.heardAt) < 2*h.options.DemandRefresh {
		return
	}
	h.demands[demand.GetRequester()] = &requesterDemand{
		sequence: demand.GetSequence(), heardAt: now, groups: demand.GetGroups(),
	}
}

// waitingGroup is a group of items that wait at one node.
type waitingGroup struct {
	requester string
	heardAt   time.Time
	group     *admissionpb.DemandGroup
	urgency   int
}

// grant offers what is idle to those who wait, in order.
func (h *homeState) grant(now time.Time) []action {
	groups := h.waitingGroups(now)
	if len(groups) == 0 {
		return nil
	}
	offers := make(map[string]*admissionpb.GrantRequest)
	for _, replica := range h.sortedReplicas() {
		room, _ := replica.capacity(now, &h.options)
		for room -= replica.out; room > 0; room-- {
			chosen := h.choose(groups, replica)
			if chosen == nil {
				break
			}
			chosen.group.Count--
			h.offer(now, offers, chosen, replica)
		}
	}
	actions := make([]action, 0, len(offers))
	for _, requester := range slices.Sorted(maps.Keys(offers)) {
		actions = append(actions, sendGrants{requester: requester, request: offers[requester]})
	}
	return actions
}

// waitingGroups lists the groups that still wait.
func (h *homeState) waitingGroups(now time.Time) []*waitingGroup {
	var groups []*waitingGroup
	for _, requester := range slices.Sorted(maps.Keys(h.demands)) {
		demand := h.demands[requester]
		for _, group := range demand.groups {
			if group.GetCount() > 0 {
				groups = append(groups, &waitingGroup{
					requester: requester, heardAt: demand.heardAt, group: group,
					urgency: urgency(now, time.UnixMilli(int64(group.GetDeadlineUnixMillis()))),
				})
			}
		}
	}
	return groups
}

// infeasible is the urgency of an item that can't make its deadline any more: it goes
// behind all that can.
const infeasible = math.MaxInt

// urgency puts deadlines into classes of similar slack, so that owners can share
// fairly inside a class; a lower value is more urgent.
func urgency(now, deadline time.Time) int {
	slack := deadline.Sub(now)
	if slack <= 0 {
		return infeasible
	}
	const classesPerDoubling = 4
	return int(math.Floor(classesPerDoubling * math.Log2(slack.Seconds())))
}

func (h *homeState) sortedReplicas() []*replicaState {
	replicas := make([]*replicaState, 0, len(h.replicas))
	for _, replica := range h.replicas {
		if replica.hasReport {
			replicas = append(replicas, replica)
		}
	}
	slices.SortFunc(replicas, func(a, b *replicaState) int {
		freeA, freeB := a.report.MaxRunning-a.report.Running-a.out, b.report.MaxRunning-b.report.Running-b.out
		if freeA != freeB {
			return freeB - freeA
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return replicas
}

// choose returns the group that the next credit on a replica goes to, or nil.
func (h *homeState) choose(groups []*waitingGroup, replica *replicaState) *waitingGroup {
	var best *waitingGroup
	for _, one := range groups {
		if one.group.GetCount() == 0 || one.group.GetService() != replica.service {
			continue
		}
		if _, paused := h.pauses[declinedPair{one.requester, replica.id}]; paused {
			continue
		}
		if !routing.Serves(&replica.report, one.group.GetModel(), one.group.GetAdapter()) {
			continue
		}
		if best == nil || h.before(one, best) {
			best = one
		}
	}
	return best
}

// before orders by rank, then earliest feasible deadline, then the owner with the fewest
// credits out, then the node with the fewest. PolicyFIFO takes who asked first.
func (h *homeState) before(a, b *waitingGroup) bool {
	if h.options.Policy != routing.PolicyFIFO {
		if a.group.GetRank() != b.group.GetRank() {
			return a.group.GetRank() > b.group.GetRank()
		}
		if a.urgency != b.urgency {
			return a.urgency < b.urgency
		}
		tenantA, tenantB := h.outByTenant[a.group.GetTenant()], h.outByTenant[b.group.GetTenant()]
		if tenantA != tenantB {
			return tenantA < tenantB
		}
		nodeA, nodeB := h.outByNode[a.requester], h.outByNode[b.requester]
		if nodeA != nodeB {
			return nodeA < nodeB
		}
	}
	if !a.heardAt.Equal(b.heardAt) {
		return a.heardAt.Before(b.heardAt)
	}
	return a.requester < b.requester
}

func (h *homeState) offer(now time.Time, offers map[string]*admissionpb.GrantRequest, to *waitingGroup, replica *replicaState) {
	h.last++
	credit := &grantedCredit{
		id: h.last, requester: to.requester, tenant: to.group.GetTenant(), replica: replica,
		rank:    int(to.group.GetRank()),
		expires: now.Add(grantAllowance + h.options.TimeToLive + h.options.ExpirySlack),
	}
	h.credits[credit.id] = credit
	h.count(credit, 1)
	replica.outPeaks.note(now, replica.out)
	request := offers[to.requester]
	if request == nil {
		request = &admissionpb.GrantRequest{Home: h.node, Epoch: h.epoch}
		offers[to.requester] = request
	}
	request.Grants = append(request.Grants, &admissionpb.Grant{
		Credit: credit.id, Replica: replica.id, TimeToLiveMicros: uint64(h.options.TimeToLive.Microseconds()),
		Service: to.group.GetService(), Model: to.group.GetModel(), Adapter: to.group.GetAdapter(),
	})
}

// grantAllowance bounds how long an offer may be on its way: the transport gives it up then.
const grantAllowance = 500 * time.Millisecond
