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

// requesterDemand is the latest announcement of one requester.
type requesterDemand struct {
	sequence   uint64
	receivedAt time.Time
	groups     []*admissionpb.DemandGroup
}

// onDemand stores an announcement. One that does not have a higher sequence number than the
// stored one is ignored, unless the stored one has lapsed: a requester that restarts numbers
// its announcements from 1 again.
func (h *homeState) onDemand(now time.Time, demand *admissionpb.Demand) {
	known := h.demands[demand.GetRequester()]
	if known != nil && known.sequence >= demand.GetSequence() && now.Sub(known.receivedAt) < 2*h.options.DemandRefresh {
		return
	}
	h.demands[demand.GetRequester()] = &requesterDemand{
		sequence: demand.GetSequence(), receivedAt: now, groups: demand.GetGroups(),
	}
}

// waitingGroup is a group of like items that wait at one requester.
type waitingGroup struct {
	requester  string
	receivedAt time.Time
	group      *admissionpb.DemandGroup
	slackClass int
}

// grant offers the idle capacity of each replica to the waiting groups, in order of precedes.
func (h *homeState) grant(now time.Time) []action {
	groups := h.waitingGroups(now)
	if len(groups) == 0 {
		return nil
	}
	requests := make(map[string]*admissionpb.GrantRequest)
	for _, replica := range h.sortedReplicas() {
		free, _ := replica.capacity(now, &h.options)
		for free -= replica.outstanding; free > 0 && h.startIntervalElapsed(now, replica); free-- {
			chosen := h.selectGroup(now, groups, replica)
			if chosen == nil {
				break
			}
			chosen.group.Count--
			h.addGrant(now, requests, chosen, replica)
		}
	}
	actions := make([]action, 0, len(requests))
	for _, requester := range slices.Sorted(maps.Keys(requests)) {
		actions = append(actions, sendGrants{requester: requester, request: requests[requester]})
	}
	return actions
}

// startIntervalElapsed reports whether the replica may get another new credit. Only
// PolicySloelift spaces new credits.
func (h *homeState) startIntervalElapsed(now time.Time, replica *replicaState) bool {
	return h.options.Policy != routing.PolicySloelift || !now.Before(replica.nextStart)
}

// waitingGroups returns the groups that have items without a credit.
func (h *homeState) waitingGroups(now time.Time) []*waitingGroup {
	var groups []*waitingGroup
	for _, requester := range slices.Sorted(maps.Keys(h.demands)) {
		demand := h.demands[requester]
		for _, group := range demand.groups {
			if group.GetCount() > 0 {
				groups = append(groups, &waitingGroup{
					requester: requester, receivedAt: demand.receivedAt, group: group,
					slackClass: slackClass(now, time.UnixMilli(int64(group.GetDeadlineUnixMillis()))),
				})
			}
		}
	}
	return groups
}

// infeasible is the slack class of an item whose deadline has passed. It sorts after all
// other classes.
const infeasible = math.MaxInt

// slackClass maps a deadline to a logarithmic class of the time left until then; a lower
// class is more urgent. Tenants share capacity fairly within a class.
func slackClass(now, deadline time.Time) int {
	slack := deadline.Sub(now)
	if slack <= 0 {
		return infeasible
	}
	const classesPerDoubling = 4
	return int(math.Floor(classesPerDoubling * math.Log2(slack.Seconds())))
}

// sortedReplicas returns the replicas that have a load report, ordered by online requests,
// then by outstanding credits, fewest first.
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
			cmp.Compare(a.outstanding, b.outstanding),
			cmp.Compare(a.id, b.id),
		)
	})
	return replicas
}

// selectGroup returns the group that gets the next credit on a replica, or nil if no group
// can use one.
func (h *homeState) selectGroup(now time.Time, groups []*waitingGroup, replica *replicaState) *waitingGroup {
	var best *waitingGroup
	for _, candidate := range groups {
		if candidate.group.GetCount() == 0 || candidate.group.GetService() != replica.service {
			continue
		}
		if _, paused := h.declinedUntil[requesterReplica{candidate.requester, replica.id}]; paused {
			continue
		}
		if !routing.ReportsReady(&replica.report, candidate.group.GetModel(), candidate.group.GetAdapter()) {
			continue
		}
		if best == nil || h.precedes(now, candidate, best, replica) {
			best = candidate
		}
	}
	return best
}

// precedes reports whether group a is served before group b on a replica. It compares, in
// this order: rank (higher first), slack class (less slack first), outstanding credits of the
// tenant (fewer first, if they differ by more than FairnessSlack), prefix affinity to the
// replica (higher first), and outstanding credits of the requester (fewer first). Under
// PolicyFIFO the earlier announcement precedes.
func (h *homeState) precedes(now time.Time, a, b *waitingGroup, replica *replicaState) bool {
	if h.options.Policy == routing.PolicyFIFO {
		return cmp.Or(a.receivedAt.Compare(b.receivedAt), cmp.Compare(a.requester, b.requester)) < 0
	}
	tenantDifference := h.outstandingByTenant[a.group.GetTenant()] - h.outstandingByTenant[b.group.GetTenant()]
	if max(tenantDifference, -tenantDifference) <= h.options.FairnessSlack {
		tenantDifference = 0
	}
	return cmp.Or(
		cmp.Compare(b.group.GetRank(), a.group.GetRank()),
		cmp.Compare(a.slackClass, b.slackClass),
		tenantDifference,
		cmp.Compare(h.prefixAffinity(now, b, replica), h.prefixAffinity(now, a, replica)),
		cmp.Compare(h.outstandingByNode[a.requester], h.outstandingByNode[b.requester]),
		cmp.Compare(a.requester, b.requester),
	) < 0
}

// prefixAffinity rates how well the prompt prefix of a group suits a replica; higher is
// better. A prefix that the replica should have cached rates highest; others rate by
// rendezvous hashing, and prompts without a prefix rate 0.
func (h *homeState) prefixAffinity(now time.Time, waiting *waitingGroup, replica *replicaState) uint64 {
	prefix := waiting.group.GetPrefix()
	switch {
	case prefix == 0:
		return 0
	case replica.hasCachedPrefix(now, prefix, &h.options):
		return math.MaxUint64
	default:
		return routing.Affinity(prefix, replica.id)
	}
}

// addGrant creates a credit for an item of the waiting group and adds it to the request for
// the group's requester.
func (h *homeState) addGrant(now time.Time, requests map[string]*admissionpb.GrantRequest, waiting *waitingGroup, replica *replicaState) {
	h.lastCreditID++
	credit := &grantedCredit{
		id: h.lastCreditID, requester: waiting.requester, tenant: waiting.group.GetTenant(), replica: replica,
		rank:    int(waiting.group.GetRank()),
		expires: now.Add(grantCallTimeout + h.options.TimeToLive + h.options.ExpirySlack),
	}
	h.credits[credit.id] = credit
	replica.nextStart = now.Add(replica.startInterval(&h.options))
	if prefix := waiting.group.GetPrefix(); prefix != 0 {
		replica.prefixGrantedAt[prefix] = now
	}
	h.adjustOutstanding(credit, 1)
	replica.outstandingPeak.record(now, replica.outstanding)
	request := requests[waiting.requester]
	if request == nil {
		request = &admissionpb.GrantRequest{Home: h.node, Epoch: h.epoch}
		requests[waiting.requester] = request
	}
	request.Grants = append(request.Grants, &admissionpb.Grant{
		Credit: credit.id, Replica: replica.id, TimeToLiveMicros: uint64(h.options.TimeToLive.Microseconds()),
		Service: waiting.group.GetService(), Model: waiting.group.GetModel(), Adapter: waiting.group.GetAdapter(),
		Prefix: waiting.group.GetPrefix(),
	})
}

// grantCallTimeout is the deadline of a grant call. The transport delivers no offer later than
// that, so the home node can compute when a credit has expired at the requester.
const grantCallTimeout = 500 * time.Millisecond
