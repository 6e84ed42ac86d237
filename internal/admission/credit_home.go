package admission

import (
	"maps"
	"slices"
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
)

// grantedCredit is the home node's record of a credit that a requester may be using.
type grantedCredit struct {
	id        uint64
	requester string
	tenant    string
	replica   *replicaState
	// rank and runningFor describe the item that uses the credit, as of the last renewal.
	rank       int
	runningFor time.Duration
	// expires is the time by which the requester must have stopped using the credit.
	expires time.Time
	revoked bool
	// revokeSentAt is when the revocation was last sent.
	revokeSentAt time.Time
}

// homeState grants the credits of the replicas that this node is home to. It is confined to
// one goroutine. Invariant: a credit is granted only while the outstanding credits of its
// replica, including revoked ones, are fewer than the replica's capacity.
type homeState struct {
	options       Options
	node          string
	epoch         uint64
	lastCreditID  uint64
	replicas      map[string]*replicaState
	credits       map[uint64]*grantedCredit
	demands       map[string]*requesterDemand
	declinedUntil map[requesterReplica]time.Time
	// outstandingByTenant and outstandingByNode count outstanding credits, for fair sharing.
	outstandingByTenant map[string]int
	outstandingByNode   map[string]int
}

// requesterReplica is the key of declinedUntil: a requester that declined a replica.
type requesterReplica struct{ requester, replica string }

// revokeResendInterval is the time after which an unanswered revocation is sent again.
const revokeResendInterval = 50 * time.Millisecond

func newHomeState(options Options, node string, epoch uint64) *homeState {
	return &homeState{
		options: options, node: node, epoch: epoch,
		replicas:      make(map[string]*replicaState),
		credits:       make(map[uint64]*grantedCredit),
		demands:       make(map[string]*requesterDemand),
		declinedUntil: make(map[requesterReplica]time.Time),

		outstandingByTenant: make(map[string]int),
		outstandingByNode:   make(map[string]int),
	}
}

// step applies one event at the given time and returns the resulting actions.
func (h *homeState) step(now time.Time, input event) []action {
	var actions []action
	switch typed := input.(type) {
	case homedReplicasChanged:
		h.onHomedReplicas(typed)
	case loadReported:
		h.onLoad(typed)
	case demandReceived:
		h.onDemand(now, typed.demand)
	case renewReceived:
		actions = append(actions, h.onRenew(now, typed))
	case releaseReceived:
		h.onRelease(now, typed.release)
	case onlineStartsReceived:
		h.onOnlineStarts(now, typed.started)
	case grantReplied:
		h.onGrantReply(now, typed)
	case tick:
		h.expire(now)
	default:
		return nil
	}
	actions = append(actions, h.revokeExcess(now)...)
	return append(actions, h.grant(now)...)
}

func (h *homeState) onHomedReplicas(event homedReplicasChanged) {
	wanted := make(map[string]bool, len(event.replicas))
	for _, homed := range event.replicas {
		wanted[homed.id] = true
		known := h.replicas[homed.id]
		if known == nil {
			known = &replicaState{prefixGrantedAt: make(map[uint64]time.Time)}
			h.replicas[homed.id] = known
		}
		known.homedReplica = homed
	}
	for id, replica := range h.replicas {
		if !wanted[id] {
			replica.lost = true
			delete(h.replicas, id)
		}
	}
	for _, credit := range h.credits {
		if current := h.replicas[credit.replica.id]; current != nil && current != credit.replica {
			h.rebind(credit, current)
		}
	}
}

// rebind moves a credit to the new state of a replica that left this home node and came back.
func (h *homeState) rebind(credit *grantedCredit, to *replicaState) {
	credit.replica = to
	to.outstanding++
	if credit.revoked {
		to.revoked++
	}
}

func (h *homeState) onLoad(event loadReported) {
	replica := h.replicas[event.replica]
	if replica == nil {
		return
	}
	replica.report, replica.hasReport, replica.receivedAt = event.report, true, event.receivedAt
	replica.onlinePeak.record(event.receivedAt, replica.online(&h.options))
}

func (h *homeState) onOnlineStarts(now time.Time, started *admissionpb.OnlineStarted) {
	for _, count := range started.GetCounts() {
		replica := h.replicas[count.GetReplica()]
		if replica == nil {
			continue
		}
		replica.signals = append(replica.signals, onlineSignal{at: now, count: int(count.GetCount())})
		replica.onlinePeak.record(now, replica.online(&h.options))
	}
}

func (h *homeState) onRenew(now time.Time, event renewReceived) action {
	response := &admissionpb.RenewResponse{TimeToLiveMicros: uint64(h.options.TimeToLive.Microseconds())}
	if event.request.GetEpoch() == h.epoch {
		for _, use := range event.request.GetUses() {
			credit := h.credits[use.GetCredit()]
			if credit == nil || credit.revoked || credit.replica.lost {
				continue
			}
			credit.rank = int(use.GetRank())
			credit.runningFor = time.Duration(use.GetHeldMillis()) * time.Millisecond
			credit.expires = now.Add(h.options.TimeToLive + h.options.ExpirySlack)
			response.Renewed = append(response.Renewed, credit.id)
		}
	}
	return replyRenew{reply: event.reply, response: response}
}

func (h *homeState) onRelease(now time.Time, release *admissionpb.Release) {
	if release.GetEpoch() != h.epoch {
		return
	}
	for _, id := range release.GetCredits() {
		h.removeCredit(now, id)
	}
}

func (h *homeState) onGrantReply(now time.Time, reply grantReplied) {
	if reply.noReply {
		// The requester may hold the credits, so they stay outstanding until they expire. It
		// gets no more until it announces demand again.
		delete(h.demands, reply.requester)
	}
	for _, id := range reply.declined {
		if credit := h.credits[id]; credit != nil {
			h.declinedUntil[requesterReplica{reply.requester, credit.replica.id}] = now.Add(h.options.DeclinePause)
			h.removeCredit(now, id)
		}
	}
}

// removeCredit ends a credit that was released, declined or has expired.
func (h *homeState) removeCredit(now time.Time, id uint64) {
	credit := h.credits[id]
	if credit == nil {
		return
	}
	delete(h.credits, id)
	h.adjustOutstanding(credit, -1)
	if credit.revoked {
		credit.replica.revoked--
	}
	credit.replica.outstandingPeak.record(now, credit.replica.outstanding)
}

// adjustOutstanding adds delta to the outstanding counts of the credit's replica, tenant and
// requester.
func (h *homeState) adjustOutstanding(credit *grantedCredit, delta int) {
	credit.replica.outstanding += delta
	addCount(h.outstandingByTenant, credit.tenant, delta)
	addCount(h.outstandingByNode, credit.requester, delta)
}

func addCount(counts map[string]int, key string, delta int) {
	if counts[key] += delta; counts[key] == 0 {
		delete(counts, key)
	}
}

// expire removes expired credits, demands, cached prefixes and declines.
func (h *homeState) expire(now time.Time) {
	for id, credit := range h.credits {
		if !now.Before(credit.expires) {
			h.removeCredit(now, id)
		}
	}
	for requester, demand := range h.demands {
		if now.Sub(demand.receivedAt) > 2*h.options.DemandRefresh {
			delete(h.demands, requester)
		}
	}
	for _, replica := range h.replicas {
		for prefix, grantedAt := range replica.prefixGrantedAt {
			if now.Sub(grantedAt) >= h.options.PrefixMemory {
				delete(replica.prefixGrantedAt, prefix)
			}
		}
	}
	for pair, until := range h.declinedUntil {
		if !now.Before(until) {
			delete(h.declinedUntil, pair)
		}
	}
}

// revokeExcess revokes as few credits as bring each replica within its capacity, in
// revocationOrder, and all credits of lost replicas.
func (h *homeState) revokeExcess(now time.Time) []action {
	var actions []action
	for _, id := range slices.Sorted(maps.Keys(h.replicas)) {
		replica := h.replicas[id]
		_, keepLimit := replica.capacity(now, &h.options)
		if excess := replica.outstanding - replica.revoked - keepLimit; excess > 0 {
			for _, credit := range h.revocationOrder(replica)[:excess] {
				credit.revoked = true
				replica.revoked++
			}
			actions = append(actions, recordRevocation{
				replica: id, count: excess, online: replica.online(&h.options), reason: replica.revokeReason(now, &h.options),
			})
		}
	}
	for _, credit := range h.credits {
		if credit.replica.lost && !credit.revoked {
			credit.revoked = true
			credit.replica.revoked++
		}
	}
	return append(actions, h.sendRevocations(now)...)
}

// revokeReason returns why credits of the replica are revoked.
func (r *replicaState) revokeReason(now time.Time, options *Options) revokeReason {
	switch {
	case r.lost:
		return revokedLost
	case !r.reportUsable(now, options):
		return revokedWithoutReport
	default:
		return revokedForOnline
	}
}

// sendRevocations sends pending revocations, and repeats them every revokeResendInterval until
// the credits are released or expire.
func (h *homeState) sendRevocations(now time.Time) []action {
	byRequester := make(map[string]*admissionpb.Revoke)
	for _, id := range slices.Sorted(maps.Keys(h.credits)) {
		credit := h.credits[id]
		if !credit.revoked || now.Sub(credit.revokeSentAt) < revokeResendInterval {
			continue
		}
		credit.revokeSentAt = now
		message := byRequester[credit.requester]
		if message == nil {
			message = &admissionpb.Revoke{Home: h.node, Epoch: h.epoch}
			byRequester[credit.requester] = message
		}
		message.Credits = append(message.Credits, id)
	}
	actions := make([]action, 0, len(byRequester))
	for _, requester := range slices.Sorted(maps.Keys(byRequester)) {
		actions = append(actions, sendRevoke{requester: requester, revoke: byRequester[requester]})
	}
	return actions
}

// revocationOrder returns the unrevoked credits of a replica, cheapest to revoke first: lowest
// rank, then shortest running time, then newest.
func (h *homeState) revocationOrder(replica *replicaState) []*grantedCredit {
	var inUse []*grantedCredit
	for _, credit := range h.credits {
		if credit.replica == replica && !credit.revoked {
			inUse = append(inUse, credit)
		}
	}
	slices.SortFunc(inUse, func(a, b *grantedCredit) int {
		switch {
		case a.rank != b.rank:
			return a.rank - b.rank
		case a.runningFor != b.runningFor:
			return int(a.runningFor - b.runningFor)
		case a.id > b.id:
			return -1
		default:
			return 1
		}
	})
	return inUse
}
