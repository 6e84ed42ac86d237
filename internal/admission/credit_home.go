package admission

import (
	"maps"
	"slices"
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
)

// grantedCredit is a credit that may be in use at a requester.
type grantedCredit struct {
	id        uint64
	requester string
	tenant    string
	replica   *replicaState
	rank      int
	heldFor   time.Duration
	// expires is when the requester has surely stopped using it.
	expires time.Time
	revoked bool
	// revokeSentAt is when the revocation was last sent.
	revokeSentAt time.Time
}

// homeState grants the credits of the replicas that this node is home to. It belongs
// to one goroutine. Invariant: a credit is granted only while the credits out on its
// replica, revoked ones among them, are fewer than the replica's capacity.
type homeState struct {
	options  Options
	node     string
	epoch    uint64
	last     uint64
	replicas map[string]*replicaState
	credits  map[uint64]*grantedCredit
	demands  map[string]*requesterDemand
	pauses   map[declinedPair]time.Time
	// outByTenant and outByNode count the credits out, for fair shares.
	outByTenant map[string]int
	outByNode   map[string]int
}

type declinedPair struct{ requester, replica string }

// revokeResend is the time after which a revocation that had no effect is sent again.
const revokeResend = 50 * time.Millisecond

func newHomeState(options Options, node string, epoch uint64) *homeState {
	return &homeState{
		options: options, node: node, epoch: epoch,
		replicas: make(map[string]*replicaState),
		credits:  make(map[uint64]*grantedCredit),
		demands:  make(map[string]*requesterDemand),
		pauses:   make(map[declinedPair]time.Time),

		outByTenant: make(map[string]int),
		outByNode:   make(map[string]int),
	}
}

// step takes one event at the given time.
func (h *homeState) step(now time.Time, input event) []action {
	var actions []action
	switch typed := input.(type) {
	case homesChanged:
		h.onHomes(typed)
	case loadHeard:
		h.onLoad(typed)
	case demandHeard:
		h.onDemand(now, typed.demand)
	case renewHeard:
		actions = append(actions, h.onRenew(now, typed))
	case releaseHeard:
		h.onRelease(now, typed.release)
	case onlineHeard:
		h.onOnline(now, typed.started)
	case grantAnswered:
		h.onAnswer(now, typed)
	case ticked:
		h.expire(now)
	default:
		return nil
	}
	actions = append(actions, h.revoke(now)...)
	return append(actions, h.grant(now)...)
}

func (h *homeState) onHomes(changed homesChanged) {
	wanted := make(map[string]bool, len(changed.replicas))
	for _, homed := range changed.replicas {
		wanted[homed.id] = true
		known := h.replicas[homed.id]
		if known == nil {
			known = &replicaState{prefixes: make(map[uint64]time.Time)}
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
			h.move(credit, current)
		}
	}
}

// move puts a credit on a replica's state that was made anew after the replica had left this home for a while.
func (h *homeState) move(credit *grantedCredit, to *replicaState) {
	credit.replica = to
	to.out++
	if credit.revoked {
		to.revoked++
	}
}

func (h *homeState) onLoad(heard loadHeard) {
	replica := h.replicas[heard.replica]
	if replica == nil {
		return
	}
	replica.report, replica.hasReport, replica.heardAt = heard.report, true, heard.heardAt
	replica.peaks.note(heard.heardAt, replica.online(&h.options))
}

func (h *homeState) onOnline(now time.Time, started *admissionpb.OnlineStarted) {
	for _, one := range started.GetCounts() {
		replica := h.replicas[one.GetReplica()]
		if replica == nil {
			continue
		}
		replica.signals = append(replica.signals, onlineSignal{at: now, count: int(one.GetCount())})
		replica.peaks.note(now, replica.online(&h.options))
	}
}

func (h *homeState) onRenew(now time.Time, heard renewHeard) action {
	response := &admissionpb.RenewResponse{TimeToLiveMicros: uint64(h.options.TimeToLive.Microseconds())}
	if heard.request.GetEpoch() == h.epoch {
		for _, use := range heard.request.GetUses() {
			credit := h.credits[use.GetCredit()]
			if credit == nil || credit.revoked || credit.replica.lost {
				continue
			}
			credit.rank = int(use.GetRank())
			credit.heldFor = time.Duration(use.GetHeldMillis()) * time.Millisecond
			credit.expires = now.Add(h.options.TimeToLive + h.options.ExpirySlack)
			response.Renewed = append(response.Renewed, credit.id)
		}
	}
	return answerRenew{reply: heard.reply, response: response}
}

func (h *homeState) onRelease(now time.Time, release *admissionpb.Release) {
	if release.GetEpoch() != h.epoch {
		return
	}
	for _, id := range release.GetCredits() {
		h.drop(now, id)
	}
}

func (h *homeState) onAnswer(now time.Time, answer grantAnswered) {
	if answer.lost {
		// The requester may hold the credits: they lapse. Nothing more until it is heard again.
		delete(h.demands, answer.requester)
	}
	for _, id := range answer.declined {
		if credit := h.credits[id]; credit != nil {
			h.pauses[declinedPair{answer.requester, credit.replica.id}] = now.Add(h.options.DeclinePause)
			h.drop(now, id)
		}
	}
}

func (h *homeState) drop(now time.Time, id uint64) {
	credit := h.credits[id]
	if credit == nil {
		return
	}
	delete(h.credits, id)
	h.count(credit, -1)
	if credit.revoked {
		credit.replica.revoked--
	}
	credit.replica.outPeaks.note(now, credit.replica.out)
}

// count keeps the numbers of credits out.
func (h *homeState) count(credit *grantedCredit, delta int) {
	credit.replica.out += delta
	add(h.outByTenant, credit.tenant, delta)
	add(h.outByNode, credit.requester, delta)
}

func add(counts map[string]int, key string, delta int) {
	if counts[key] += delta; counts[key] == 0 {
		delete(counts, key)
	}
}

// expire drops what has lapsed.
func (h *homeState) expire(now time.Time) {
	for id, credit := range h.credits {
		if !now.Before(credit.expires) {
			h.drop(now, id)
		}
	}
	for requester, demand := range h.demands {
		if now.Sub(demand.heardAt) > 2*h.options.DemandRefresh {
			delete(h.demands, requester)
		}
	}
	for _, replica := range h.replicas {
		for prefix, at := range replica.prefixes {
			if now.Sub(at) >= h.options.PrefixMemory {
				delete(replica.prefixes, prefix)
			}
		}
	}
	for pair, until := range h.pauses {
		if !now.Before(until) {
			delete(h.pauses, pair)
		}
	}
}

// revoke takes back as few credits as bring each replica within its capacity: the
// lowest rank first, and of those the one with the least work done.
func (h *homeState) revoke(now time.Time) []action {
	var actions []action
	for _, id := range slices.Sorted(maps.Keys(h.replicas)) {
		replica := h.replicas[id]
		_, keep := replica.capacity(now, &h.options)
		if excess := replica.out - replica.revoked - keep; excess > 0 {
			for _, credit := range h.victims(replica)[:excess] {
				credit.revoked = true
				replica.revoked++
			}
			actions = append(actions, noteRevoked{
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

// revokeReason is why credits of the replica are taken back.
func (r *replicaState) revokeReason(now time.Time, options *Options) revokeReason {
	switch {
	case r.lost:
		return revokedLost
	case !r.reportBacks(now, options):
		return revokedWithoutReport
	default:
		return revokedForOnline
	}
}

// sendRevocations tells requesters, again and again until the credits are given back or lapse.
func (h *homeState) sendRevocations(now time.Time) []action {
	byRequester := make(map[string]*admissionpb.Revoke)
	for _, id := range slices.Sorted(maps.Keys(h.credits)) {
		credit := h.credits[id]
		if !credit.revoked || now.Sub(credit.revokeSentAt) < revokeResend {
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

// victims returns the credits of a replica that are in use, cheapest to take back first.
func (h *homeState) victims(replica *replicaState) []*grantedCredit {
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
		case a.heldFor != b.heldFor:
			return int(a.heldFor - b.heldFor)
		case a.id > b.id:
			return -1
		default:
			return 1
		}
	})
	return inUse
}
