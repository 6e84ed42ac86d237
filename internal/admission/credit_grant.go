package admission

import (
	"cmp"
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
		for room -= replica.out; room > 0 && h.mayStart(now, replica); room-- {
			chosen := h.choose(now, groups, replica)
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

// mayStart says whether enough time has passed since the last new credit on a replica.
func (h *homeState) mayStart(now time.Time, replica *replicaState) bool {
	return h.options.Policy != routing.PolicySloelift || !now.Before(replica.nextStart)
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

// sortedReplicas lists those with a report: first those with the fewest online requests, and
// of those the ones with the fewest credits out.
func (h *homeState) sortedReplicas() []*replicaState {
	replicas := make([]*replicaState, 0, len(h.replicas))
	for _, replica := range h.replicas {
		if replica.hasReport {
			replicas = append(replicas, replica)
		}
	}
	slices.SortFunc(replicas, func(a, b *replicaState) int {
		return cmp.Or(
			cmp.Compare(a.online(&h.options), b.online(&h.options)),
			cmp.Compare(a.out, b.out),
			cmp.Compare(a.id, b.id),
		)
	})
	return replicas
}

// choose returns the group that the next credit on a replica goes to, or nil.
func (h *homeState) choose(now time.Time, groups []*waitingGroup, replica *replicaState) *waitingGroup {
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
		if best == nil || h.before(now, one, best, replica) {
			best = one
		}
	}
	return best
}

// before orders by rank, then earliest feasible deadline, then the owner with far fewer
// credits out, then a prompt beginning that the replica holds or is preferred for, then the
// node with the fewest credits. PolicyFIFO takes who asked first.
func (h *homeState) before(now time.Time, a, b *waitingGroup, replica *replicaState) bool {
	if h.options.Policy == routing.PolicyFIFO {
		return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.requester, b.requester)) < 0
	}
	tenants := h.outByTenant[a.group.GetTenant()] - h.outByTenant[b.group.GetTenant()]
	if max(tenants, -tenants) <= h.options.FairnessSlack {
		tenants = 0
	}
	return cmp.Or(
		cmp.Compare(b.group.GetRank(), a.group.GetRank()),
		cmp.Compare(a.urgency, b.urgency),
		tenants,
		cmp.Compare(h.affinity(now, b, replica), h.affinity(now, a, replica)),
		cmp.Compare(h.outByNode[a.requester], h.outByNode[b.requester]),
		cmp.Compare(a.requester, b.requester),
	) < 0
}

// affinity orders groups for a replica by the beginning of their prompts; higher is better.
func (h *homeState) affinity(now time.Time, waiting *waitingGroup, replica *replicaState) uint64 {
	prefix := waiting.group.GetPrefix()
	switch {
	case prefix == 0:
		return 0
	case replica.holds(now, prefix, &h.options):
		return math.MaxUint64
	default:
		return routing.Affinity(prefix, replica.id)
	}
}

func (h *homeState) offer(now time.Time, offers map[string]*admissionpb.GrantRequest, to *waitingGroup, replica *replicaState) {
	h.last++
	credit := &grantedCredit{
		id: h.last, requester: to.requester, tenant: to.group.GetTenant(), replica: replica,
		rank:    int(to.group.GetRank()),
		expires: now.Add(grantAllowance + h.options.TimeToLive + h.options.ExpirySlack),
	}
	h.credits[credit.id] = credit
	replica.nextStart = now.Add(replica.startInterval(&h.options))
	if prefix := to.group.GetPrefix(); prefix != 0 {
		replica.prefixes[prefix] = now
	}
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
		Prefix: to.group.GetPrefix(),
	})
}

// grantAllowance bounds how long an offer may be on its way: the transport gives it up then.
const grantAllowance = 500 * time.Millisecond
