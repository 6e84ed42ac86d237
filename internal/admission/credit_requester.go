package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/routing"
)

// waitingItem is a batch item that waits for a credit.
type waitingItem struct {
	id      uint64
	request *BatchRequest
}

// heldCredit is a credit in use by an item of this node.
type heldCredit struct {
	key       creditKey
	grant     *admissionpb.Grant
	request   *BatchRequest
	grantedAt time.Time
	startedAt time.Time
	expires   time.Time
	renewAt   time.Time
	// revoked: the item was told to leave and nothing new may start on the credit.
	revoked bool
}

// requesterState matches this node's waiting items with the credits it is offered. It
// belongs to one goroutine. Invariant: no item is handed a revoked or lapsed credit.
type requesterState struct {
	options Options
	node    string
	// overlap returns how many prefix blocks of a prompt a replica is thought to hold.
	overlap func(replica string, blocks []uint64) float64
	// closed says that a replica takes nothing new, as far as this node knows.
	closed  func(replica string) bool
	waiting []waitingItem
	held    map[creditKey]*heldCredit
	// revokedEarly remembers revocations that overtook their grant.
	revokedEarly map[creditKey]time.Time
	sequence     uint64
	announcedAt  time.Time
	changed      bool
}

func newRequesterState(options Options, node string, overlap func(string, []uint64) float64,
	closed func(string) bool) *requesterState {
	return &requesterState{
		options: options, node: node, overlap: overlap, closed: closed,
		held:         make(map[creditKey]*heldCredit),
		revokedEarly: make(map[creditKey]time.Time),
	}
}

// step takes one event at the given time.
func (r *requesterState) step(now time.Time, input event) []action {
	switch typed := input.(type) {
	case itemWaits:
		r.add(waitingItem{id: typed.item, request: typed.request})
	case itemLeaves:
		r.remove(typed.item)
	case creditEnded:
		return r.onEnded(now, typed.key)
	case grantsHeard:
		return r.onGrants(now, typed)
	case revokeHeard:
		return r.onRevoke(now, typed.revoke)
	case renewAnswered:
		return r.onRenewAnswer(now, typed)
	case ticked:
		return r.onTick(now)
	}
	return nil
}

// add keeps the items in the order in which they are served.
func (r *requesterState) add(item waitingItem) {
	index := len(r.waiting)
	if r.options.Policy != routing.PolicyFIFO {
		index, _ = slices.BinarySearchFunc(r.waiting, item, func(a, b waitingItem) int {
			if order := compareItems(a.request, b.request); order != 0 {
				return order
			}
			return -1 // behind its equals
		})
	}
	r.waiting = slices.Insert(r.waiting, index, item)
	r.changed = true
}

// compareItems orders by rank, then deadline.
func compareItems(a, b *BatchRequest) int {
	if a.Rank != b.Rank {
		return b.Rank - a.Rank
	}
	return a.Deadline.Compare(b.Deadline)
}

func (r *requesterState) remove(id uint64) {
	for index := range r.waiting {
		if r.waiting[index].id == id {
			r.waiting = slices.Delete(r.waiting, index, index+1)
			r.changed = true
			return
		}
	}
}

func (r *requesterState) onGrants(now time.Time, heard grantsHeard) []action {
	var actions []action
	response := &admissionpb.GrantResponse{}
	for _, grant := range heard.request.GetGrants() {
		key := creditKey{home: heard.request.GetHome(), epoch: heard.request.GetEpoch(), credit: grant.GetCredit()}
		_, early := r.revokedEarly[key]
		held := &heldCredit{
			key: key, grant: grant, grantedAt: now,
			expires: now.Add(time.Duration(grant.GetTimeToLiveMicros()) * time.Microsecond),
		}
		if early || r.held[key] != nil || !r.start(now, held, &actions) {
			response.Declined = append(response.Declined, grant.GetCredit())
		}
	}
	return append(actions, answerGrants{reply: heard.reply, response: response})
}

// start gives a credit to the best waiting item; it returns false if there is none or the
// replica takes nothing new.
func (r *requesterState) start(now time.Time, held *heldCredit, actions *[]action) bool {
	if r.closed(held.grant.GetReplica()) {
		return false
	}
	index := r.match(now, held)
	if index < 0 {
		return false
	}
	item := r.waiting[index]
	r.waiting = slices.Delete(r.waiting, index, index+1)
	r.changed = true
	held.request, held.startedAt = item.request, now
	held.renewAt = minTime(now.Add(r.options.RenewInterval), held.expires.Add(-r.options.RenewInterval))
	r.held[held.key] = held
	*actions = append(*actions, deliverCredit{
		item: item.id, key: held.key, replica: held.grant.GetReplica(), expires: held.expires,
	})
	return true
}

// match returns the index of the item that fits a credit best: the first in order, or
// one of the same rank and a similar deadline whose prefix the replica holds more of.
func (r *requesterState) match(now time.Time, held *heldCredit) int {
	best, bestOverlap, compared := -1, 0.0, 0
	for index := range r.waiting {
		request := r.waiting[index].request
		if !fits(request, held.grant) {
			continue
		}
		if best >= 0 && !r.interchangeable(now, r.waiting[best].request, request) || compared == r.options.PrefixLookahead {
			break
		}
		compared++
		blocks := request.Routing.PrefixBlocks
		overlap := r.overlap(held.grant.GetReplica(), blocks)
		if prefix := request.Routing.PrefixID(); prefix != 0 && prefix == held.grant.GetPrefix() {
			overlap++ // what the home node granted for, among equals
		}
		if best < 0 || overlap > bestOverlap {
			best, bestOverlap = index, overlap
		}
	}
	return best
}

// interchangeable says whether two items may swap places for the sake of a cached prefix.
func (r *requesterState) interchangeable(now time.Time, a, b *BatchRequest) bool {
	return r.options.Policy != routing.PolicyFIFO && a.Rank == b.Rank && urgency(now, a.Deadline) == urgency(now, b.Deadline)
}

func fits(request *BatchRequest, grant *admissionpb.Grant) bool {
	return request.Routing.Service == grant.GetService() && request.Routing.Model == grant.GetModel() &&
		request.Routing.Adapter == grant.GetAdapter() && !request.Routing.Exclude[grant.GetReplica()]
}

// onEnded passes a credit on to the next item or gives it back.
func (r *requesterState) onEnded(now time.Time, key creditKey) []action {
	held := r.held[key]
	if held == nil {
		return nil
	}
	delete(r.held, key)
	var actions []action
	reusable := !held.revoked && now.Before(held.expires) && now.Sub(held.grantedAt) < r.options.MaxReuse
	if reusable && r.start(now, held, &actions) {
		return actions
	}
	return []action{sendRelease{home: key.home, release: &admissionpb.Release{
		Requester: r.node, Epoch: key.epoch, Credits: []uint64{key.credit},
	}}}
}

// revokedMemory is how long a revocation without its grant is remembered.
const revokedMemory = 2 * time.Second

func (r *requesterState) onRevoke(now time.Time, revoke *admissionpb.Revoke) []action {
	var actions []action
	for _, id := range revoke.GetCredits() {
		key := creditKey{home: revoke.GetHome(), epoch: revoke.GetEpoch(), credit: id}
		held := r.held[key]
		if held == nil {
			// Not granted yet, or given back already and the release was lost.
			r.revokedEarly[key] = now
			actions = append(actions, sendRelease{home: key.home, release: &admissionpb.Release{
				Requester: r.node, Epoch: key.epoch, Credits: []uint64{id},
			}})
			continue
		}
		actions = r.take(held, actions)
	}
	return actions
}

func (r *requesterState) take(held *heldCredit, actions []action) []action {
	if held.revoked {
		return actions
	}
	held.revoked = true
	return append(actions, takeCredit{key: held.key})
}

func (r *requesterState) onRenewAnswer(now time.Time, answer renewAnswered) []action {
	if answer.response == nil {
		return nil // asked again at the next tick; without an answer the credits lapse
	}
	timeToLive := time.Duration(answer.response.GetTimeToLiveMicros()) * time.Microsecond
	renewed := make(map[uint64]bool, len(answer.response.GetRenewed()))
	for _, id := range answer.response.GetRenewed() {
		renewed[id] = true
	}
	var actions []action
	for _, id := range answer.asked {
		held := r.held[creditKey{home: answer.home, epoch: answer.epoch, credit: id}]
		switch {
		case held == nil || held.revoked:
		case renewed[id]:
			held.expires = answer.sentAt.Add(timeToLive)
			held.renewAt = answer.sentAt.Add(r.options.RenewInterval)
		default:
			actions = r.take(held, actions)
		}
	}
	return actions
}

// onTick takes lapsed credits away, renews others, and announces what waits.
func (r *requesterState) onTick(now time.Time) []action {
	var actions []action
	renewals := make(map[creditKey]*admissionpb.RenewRequest)
	for _, key := range sortedKeys(r.held) {
		held := r.held[key]
		switch {
		case held.revoked:
		case !now.Before(held.expires):
			actions = append(actions, noteLapsed{key: key, replica: held.grant.GetReplica()})
			actions = r.take(held, actions)
		case !now.Before(held.renewAt):
			held.renewAt = now.Add(r.options.RenewInterval)
			addUse(renewals, r.node, held, now)
		}
	}
	for _, key := range sortedKeys(renewals) {
		actions = append(actions, sendRenew{home: key.home, request: renewals[key]})
	}
	for key, at := range r.revokedEarly {
		if now.Sub(at) > revokedMemory {
			delete(r.revokedEarly, key)
		}
	}
	refresh := len(r.waiting) > 0 && now.Sub(r.announcedAt) >= r.options.DemandRefresh
	if r.changed || refresh {
		actions = append(actions, r.announce(now))
	}
	return actions
}

// sortedKeys makes a step's actions follow from its events alone.
func sortedKeys[Value any](credits map[creditKey]Value) []creditKey {
	return slices.SortedFunc(maps.Keys(credits), func(a, b creditKey) int {
		return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.credit, b.credit))
	})
}

func addUse(renewals map[creditKey]*admissionpb.RenewRequest, node string, held *heldCredit, now time.Time) {
	group := creditKey{home: held.key.home, epoch: held.key.epoch}
	request := renewals[group]
	if request == nil {
		request = &admissionpb.RenewRequest{Requester: node, Epoch: held.key.epoch}
		renewals[group] = request
	}
	request.Uses = append(request.Uses, &admissionpb.CreditUse{
		Credit: held.key.credit, Rank: int32(held.request.Rank),
		HeldMillis: uint64(now.Sub(held.startedAt).Milliseconds()),
	})
}

// groupKey is what items of one group have in common.
type groupKey struct {
	service, model, adapter, tenant string
	rank, urgency                   int
	prefix                          uint64
}

// maxDemandGroups bounds an announcement; the items are in order, so the most urgent are in it.
const maxDemandGroups = 32

// announce tells what waits.
func (r *requesterState) announce(now time.Time) action {
	r.changed, r.announcedAt = false, now
	r.sequence++
	demand := &admissionpb.Demand{Requester: r.node, Sequence: r.sequence}
	groups := make(map[groupKey]*admissionpb.DemandGroup)
	for index := range r.waiting {
		request := r.waiting[index].request
		key := groupKey{
			service: request.Routing.Service, model: request.Routing.Model, adapter: request.Routing.Adapter,
			tenant: request.Tenant, rank: request.Rank, urgency: urgency(now, request.Deadline),
			prefix: request.Routing.PrefixID(),
		}
		group := groups[key]
		if group == nil {
			if len(groups) == maxDemandGroups {
				break
			}
			group = &admissionpb.DemandGroup{
				Service: key.service, Model: key.model, Adapter: key.adapter, Tenant: key.tenant,
				Rank: int32(key.rank), Prefix: key.prefix, DeadlineUnixMillis: uint64(max(0, request.Deadline.UnixMilli())),
			}
			groups[key] = group
			demand.Groups = append(demand.Groups, group)
		}
		group.Count++
	}
	return sendDemand{demand: demand}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
