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
	// startedAt is when the current item got the credit.
	startedAt time.Time
	expires   time.Time
	// renewAt is when the next renewal is due.
	renewAt time.Time
	// revoked is set once the item was told to leave; no other item may use the credit.
	revoked bool
}

// requesterState assigns offered credits to the waiting items of this node. It is confined to
// one goroutine. Invariant: no item is given a revoked or expired credit.
type requesterState struct {
	options Options
	node    string
	// overlap returns how many prefix blocks of a prompt a replica is expected to have cached.
	overlap func(replica string, blocks []uint64) float64
	// replicaClosed reports whether a replica takes no new items, as far as this node knows.
	replicaClosed func(replica string) bool
	// waiting is in the order in which the items are served.
	waiting []waitingItem
	held    map[creditKey]*heldCredit
	// revokedBeforeGrant holds revocations that overtook their grant, with the time of receipt.
	revokedBeforeGrant map[creditKey]time.Time
	// sequence and announcedAt belong to the last announcement; demandChanged is set when
	// the waiting items have changed since.
	sequence      uint64
	announcedAt   time.Time
	demandChanged bool
}

func newRequesterState(options Options, node string, overlap func(string, []uint64) float64,
	closed func(string) bool) *requesterState {
	return &requesterState{
		options: options, node: node, overlap: overlap, replicaClosed: closed,
		held:               make(map[creditKey]*heldCredit),
		revokedBeforeGrant: make(map[creditKey]time.Time),
	}
}

// step applies one event at the given time and returns the resulting actions.
func (r *requesterState) step(now time.Time, input event) []action {
	switch typed := input.(type) {
	case itemQueued:
		r.enqueueItem(waitingItem{id: typed.item, request: typed.request})
	case itemCancelled:
		r.removeItem(typed.item)
	case creditReturned:
		return r.onCreditReturned(now, typed.key)
	case grantsReceived:
		return r.onGrants(now, typed)
	case revokeReceived:
		return r.onRevoke(now, typed.revoke)
	case renewReplied:
		return r.onRenewReply(now, typed)
	case tick:
		return r.onTick(now)
	}
	return nil
}

// enqueueItem inserts an item by compareItems, or at the end under PolicyFIFO.
func (r *requesterState) enqueueItem(item waitingItem) {
	index := len(r.waiting)
	if r.options.Policy != routing.PolicyFIFO {
		index, _ = slices.BinarySearchFunc(r.waiting, item, func(a, b waitingItem) int {
			if order := compareItems(a.request, b.request); order != 0 {
				return order
			}
			return -1 // insert after equal items
		})
	}
	r.waiting = slices.Insert(r.waiting, index, item)
	r.demandChanged = true
}

// compareItems orders items by rank, highest first, then by deadline, earliest first.
func compareItems(a, b *BatchRequest) int {
	if a.Rank != b.Rank {
		return b.Rank - a.Rank
	}
	return a.Deadline.Compare(b.Deadline)
}

func (r *requesterState) removeItem(id uint64) {
	for index := range r.waiting {
		if r.waiting[index].id == id {
			r.waiting = slices.Delete(r.waiting, index, index+1)
			r.demandChanged = true
			return
		}
	}
}

// onGrants assigns offered credits to waiting items and declines those that are already
// revoked, already held, or of no use.
func (r *requesterState) onGrants(now time.Time, event grantsReceived) []action {
	var actions []action
	response := &admissionpb.GrantResponse{}
	for _, grant := range event.request.GetGrants() {
		key := creditKey{home: event.request.GetHome(), epoch: event.request.GetEpoch(), credit: grant.GetCredit()}
		_, revoked := r.revokedBeforeGrant[key]
		held := &heldCredit{
			key: key, grant: grant, grantedAt: now,
			expires: now.Add(time.Duration(grant.GetTimeToLiveMicros()) * time.Microsecond),
		}
		if revoked || r.held[key] != nil || !r.assign(now, held, &actions) {
			response.Declined = append(response.Declined, grant.GetCredit())
		}
	}
	return append(actions, replyGrants{reply: event.reply, response: response})
}

// assign gives a credit to the best waiting item. It returns false if no item fits or the
// replica takes no new items.
func (r *requesterState) assign(now time.Time, held *heldCredit, actions *[]action) bool {
	if r.replicaClosed(held.grant.GetReplica()) {
		return false
	}
	index := r.bestItem(now, held)
	if index < 0 {
		return false
	}
	item := r.waiting[index]
	r.waiting = slices.Delete(r.waiting, index, index+1)
	r.demandChanged = true
	held.request, held.startedAt = item.request, now
	held.renewAt = minTime(now.Add(r.options.RenewInterval), held.expires.Add(-r.options.RenewInterval))
	r.held[held.key] = held
	*actions = append(*actions, deliverCredit{
		item: item.id, key: held.key, replica: held.grant.GetReplica(), expires: held.expires,
	})
	return true
}

// bestItem returns the index of the waiting item that should get a credit, or -1 if none fits:
// the first in order, or an interchangeable one with more cached prefix blocks on the replica.
// At most PrefixLookahead items are compared.
func (r *requesterState) bestItem(now time.Time, held *heldCredit) int {
	best, bestOverlap, compared := -1, 0.0, 0
	for index := range r.waiting {
		request := r.waiting[index].request
		if !matchesGrant(request, held.grant) {
			continue
		}
		if best >= 0 && !r.interchangeable(now, r.waiting[best].request, request) || compared == r.options.PrefixLookahead {
			break
		}
		compared++
		blocks := request.Routing.PrefixBlocks
		overlap := r.overlap(held.grant.GetReplica(), blocks)
		if prefix := request.Routing.PrefixID(); prefix != 0 && prefix == held.grant.GetPrefix() {
			overlap++ // tie-breaker: the home node made the grant for this prefix
		}
		if best < 0 || overlap > bestOverlap {
			best, bestOverlap = index, overlap
		}
	}
	return best
}

// interchangeable reports whether two items may be served out of order to use a cached prefix:
// they have the same rank and slack class. Under PolicyFIFO no items are.
func (r *requesterState) interchangeable(now time.Time, a, b *BatchRequest) bool {
	return r.options.Policy != routing.PolicyFIFO && a.Rank == b.Rank && slackClass(now, a.Deadline) == slackClass(now, b.Deadline)
}

// matchesGrant reports whether the item may run on the replica of the grant.
func matchesGrant(request *BatchRequest, grant *admissionpb.Grant) bool {
	return request.Routing.Service == grant.GetService() && request.Routing.Model == grant.GetModel() &&
		request.Routing.Adapter == grant.GetAdapter() && !request.Routing.Exclude[grant.GetReplica()]
}

// onCreditReturned reuses a credit for the next waiting item, or releases it. A credit is
// reused until it is revoked, expired or older than MaxReuse.
func (r *requesterState) onCreditReturned(now time.Time, key creditKey) []action {
	held := r.held[key]
	if held == nil {
		return nil
	}
	delete(r.held, key)
	var actions []action
	reusable := !held.revoked && now.Before(held.expires) && now.Sub(held.grantedAt) < r.options.MaxReuse
	if reusable && r.assign(now, held, &actions) {
		return actions
	}
	return []action{sendRelease{home: key.home, release: &admissionpb.Release{
		Requester: r.node, Epoch: key.epoch, Credits: []uint64{key.credit},
	}}}
}

// earlyRevocationRetention is how long a revocation is kept whose grant has not arrived.
const earlyRevocationRetention = 2 * time.Second

func (r *requesterState) onRevoke(now time.Time, revoke *admissionpb.Revoke) []action {
	var actions []action
	for _, id := range revoke.GetCredits() {
		key := creditKey{home: revoke.GetHome(), epoch: revoke.GetEpoch(), credit: id}
		held := r.held[key]
		if held == nil {
			// Either the revocation overtook the grant, or the release of the credit was lost.
			r.revokedBeforeGrant[key] = now
			actions = append(actions, sendRelease{home: key.home, release: &admissionpb.Release{
				Requester: r.node, Epoch: key.epoch, Credits: []uint64{id},
			}})
			continue
		}
		actions = r.withdraw(held, actions)
	}
	return actions
}

// withdraw marks a credit as revoked and appends the action that tells its item to leave.
func (r *requesterState) withdraw(held *heldCredit, actions []action) []action {
	if held.revoked {
		return actions
	}
	held.revoked = true
	return append(actions, withdrawCredit{key: held.key})
}

// onRenewReply extends the renewed credits and withdraws those that the home node did not
// renew. The lease counts from the time the request was sent, so it ends here before it ends
// at the home node.
func (r *requesterState) onRenewReply(now time.Time, reply renewReplied) []action {
	if reply.response == nil {
		return nil // renewed again after RenewInterval; if that fails too, the credits expire
	}
	timeToLive := time.Duration(reply.response.GetTimeToLiveMicros()) * time.Microsecond
	renewed := make(map[uint64]bool, len(reply.response.GetRenewed()))
	for _, id := range reply.response.GetRenewed() {
		renewed[id] = true
	}
	var actions []action
	for _, id := range reply.requested {
		held := r.held[creditKey{home: reply.home, epoch: reply.epoch, credit: id}]
		switch {
		case held == nil || held.revoked:
		case renewed[id]:
			held.expires = reply.sentAt.Add(timeToLive)
			held.renewAt = reply.sentAt.Add(r.options.RenewInterval)
		default:
			actions = r.withdraw(held, actions)
		}
	}
	return actions
}

// onTick withdraws expired credits, renews those that are due, and announces the waiting items
// if they have changed or the announcement is due for a refresh.
func (r *requesterState) onTick(now time.Time) []action {
	var actions []action
	renewals := make(map[creditKey]*admissionpb.RenewRequest)
	for _, key := range sortedKeys(r.held) {
		held := r.held[key]
		switch {
		case held.revoked:
		case !now.Before(held.expires):
			actions = append(actions, recordLapse{key: key, replica: held.grant.GetReplica()})
			actions = r.withdraw(held, actions)
		case !now.Before(held.renewAt):
			held.renewAt = now.Add(r.options.RenewInterval)
			addRenewal(renewals, r.node, held, now)
		}
	}
	for _, key := range sortedKeys(renewals) {
		actions = append(actions, sendRenew{home: key.home, request: renewals[key]})
	}
	for key, revokedAt := range r.revokedBeforeGrant {
		if now.Sub(revokedAt) > earlyRevocationRetention {
			delete(r.revokedBeforeGrant, key)
		}
	}
	refresh := len(r.waiting) > 0 && now.Sub(r.announcedAt) >= r.options.DemandRefresh
	if r.demandChanged || refresh {
		actions = append(actions, r.announceDemand(now))
	}
	return actions
}

// sortedKeys returns the keys in a fixed order, which makes the actions of a step deterministic.
func sortedKeys[Value any](credits map[creditKey]Value) []creditKey {
	return slices.SortedFunc(maps.Keys(credits), func(a, b creditKey) int {
		return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.credit, b.credit))
	})
}

// addRenewal adds a credit to the renewal request for its home node and epoch. A key of
// renewals has no credit.
func addRenewal(renewals map[creditKey]*admissionpb.RenewRequest, node string, held *heldCredit, now time.Time) {
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

// groupKey holds the properties that the items of one demand group share.
type groupKey struct {
	service, model, adapter, tenant string
	rank, slackClass                int
	prefix                          uint64
}

// maxDemandGroups bounds the groups in an announcement. Items are added in the order in which
// they are served, so the most urgent ones are included.
const maxDemandGroups = 32

// announceDemand returns the announcement of the waiting items, grouped by groupKey.
func (r *requesterState) announceDemand(now time.Time) action {
	r.demandChanged, r.announcedAt = false, now
	r.sequence++
	demand := &admissionpb.Demand{Requester: r.node, Sequence: r.sequence}
	groups := make(map[groupKey]*admissionpb.DemandGroup)
	for index := range r.waiting {
		request := r.waiting[index].request
		key := groupKey{
			service: request.Routing.Service, model: request.Routing.Model, adapter: request.Routing.Adapter,
			tenant: request.Tenant, rank: request.Rank, slackClass: slackClass(now, request.Deadline),
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
