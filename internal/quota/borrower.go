package quota

import (
	"context"
	"strconv"
	"sync"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// lendTimeout bounds the wait for a part. An edge that has spent its processor time stands still for up to 0.1 s.
	lendTimeout = 200 * time.Millisecond
	// lendWait is how long a request waits for parts that are being borrowed; most edges answer within a few milliseconds.
	lendWait = 30 * time.Millisecond
	// renewAfter is the age at which a borrowed part is renewed.
	renewAfter = lendingTime / 2
	// settleTime is how long after its start an edge borrows nothing: it ranks first for many tenants by the few edges that it knows, and
	// what it borrowed would lie idle for lendingTime. Started together, edges know each other after 0.1 to 0.3 s.
	settleTime = 300 * time.Millisecond
)

// borrower grants for one tenant from the parts that it has borrowed. It is safe for concurrent use.
type borrower struct {
	// borrowing is the name of this time as grantor, ceded are the borrowings of the grantors before that ended for it.
	borrowing string
	ceded     []string

	// mutex guards the fields below.
	mutex  sync.Mutex
	bucket *bucket
	parts  map[membership.NodeID]borrowed
	// askAgainAt holds when edges that did not lend are asked again.
	askAgainAt map[membership.NodeID]time.Time
	// renewal is closed when the parts asked for have come or will not; nil where none are asked for.
	renewal  chan struct{}
	lastUsed time.Time
	// settled says that the first round of asking for parts is over. Until then the level may be that of parts still to come.
	settled bool
	// released says that another node grants from now on.
	released bool
}

// borrowed is the part of one edge.
type borrowed struct {
	share float64
	// until is when it must be given up, by a time taken before the lender was asked.
	until time.Time
}

// newBorrower returns a borrower without parts; level is what the grantor before handed over.
func newBorrower(name membership.NodeID, request *quotapb.GrantRequest, level float64, ceded []string, now time.Time) *borrower {
	return &borrower{
		borrowing: string(name) + "/" + strconv.FormatInt(now.UnixNano(), 10), ceded: ceded,
		bucket: newBucket(limitOf(request), request.GetConfigVersion(), level, now), parts: map[membership.NodeID]borrowed{},
		askAgainAt: map[membership.NodeID]time.Time{}, lastUsed: now,
	}
}

// collect adds what the parts brought since the last time, and gives up those whose time is over, with what they may hold. What a part
// that has ended since brought before its end is left out. The mutex is held.
func (b *borrower) collect(now time.Time) (share float64) {
	for lender, each := range b.parts {
		if !now.Before(each.until) {
			delete(b.parts, lender)
			continue
		}
		share += each.share
	}
	b.bucket.fill(share, now)
	if b.settled {
		b.bucket.level = min(b.bucket.level, share*b.bucket.limit.Burst)
	}
	return share
}

// answer takes requests from the bucket; nil where this node does not grant, or has nothing to grant from.
func (b *borrower) answer(request *quotapb.GrantRequest, now time.Time) *quotapb.GrantResponse {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.released {
		return nil
	}
	b.bucket.setLimit(limitOf(request), request.GetConfigVersion())
	share := b.collect(now)
	if share == 0 {
		// The asker returns what it has elsewhere.
		return nil
	}
	return b.bucket.answer(request, share, now)
}

// short says that the bucket does not hold the wanted requests.
func (b *borrower) short(wanted uint32, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	return b.bucket.level < float64(wanted)
}

// take takes in a part.
func (b *borrower) take(from membership.NodeID, response *quotapb.LendResponse, until, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	if b.released || !now.Before(until) {
		return
	}
	b.parts[from] = borrowed{share: response.GetShare(), until: until}
	b.bucket.level += response.GetLevel()
}

// refused takes in that an edge does not lend its part, and when it may. Asked with each request, twenty edges had 1,476 calls in the
// second after a grantor's death, 54 by the time that the lender gives.
func (b *borrower) refused(by membership.NodeID, freeIn time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if freeIn <= 0 {
		freeIn = renewAfter
	}
	b.askAgainAt[by] = now.Add(freeIn)
}

// due says whether an edge is to be asked for its part. The mutex is held.
func (b *borrower) due(lender membership.NodeID, now time.Time) bool {
	if part, held := b.parts[lender]; held {
		return part.until.Sub(now) <= lendingTime-renewAfter
	}
	return !now.Before(b.askAgainAt[lender])
}

// release ends this time as grantor, and returns what was left.
func (b *borrower) release(now time.Time) *quotapb.ReleaseResponse {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	b.released = true
	return &quotapb.ReleaseResponse{Held: true, Level: b.bucket.level, Ceded: b.borrowing}
}

// beginRenewal returns the edges whose parts are to be asked for, and the channel that ends the wait for them; nil where a renewal is under way
// or none is needed.
func (b *borrower) beginRenewal(candidates []membership.Member, now time.Time) (due []membership.Member, renewal chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastUsed = now
	if b.renewal != nil {
		return nil, nil
	}
	for _, each := range candidates {
		if b.due(each.ID, now) {
			due = append(due, each)
		}
	}
	if len(due) == 0 {
		return nil, nil
	}
	b.renewal = make(chan struct{})
	return due, b.renewal
}

func (b *borrower) endRenewal() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.renewal)
	b.renewal = nil
	b.settled = true
}

// underWay returns the channel that ends the wait for parts; nil where none are asked for.
func (b *borrower) underWay() chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.renewal
}

func (b *borrower) isIdle(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return now.Sub(b.lastUsed) > idleAfter
}

// grantFromParts answers a request from borrowed parts; elsewhere where this node has none.
func (s *Service) grantFromParts(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *quotapb.GrantResponse {
	if clock.Since(s.started) < settleTime {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	held := s.borrowerOf(ctx, request, ranked)
	s.renew(held, request, ranked)
	if renewal := held.underWay(); renewal != nil && held.short(request.GetWanted(), clock.Now()) {
		waited, cancel := context.WithTimeout(ctx, lendWait)
		defer cancel()
		select {
		case <-renewal:
		case <-waited.Done():
		}
	}
	if response := held.answer(request, clock.Now()); response != nil {
		return response
	}
	return &quotapb.GrantResponse{Elsewhere: true}
}

// borrowerOf returns the tenant's borrower; a new one has the grantors before it cease.
func (s *Service) borrowerOf(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *borrower {
	name := request.GetTenant()
	s.mutex.Lock()
	held, known := s.borrowing[name]
	s.mutex.Unlock()
	if known && !held.isIdle(clock.Now()) {
		return held
	}
	level, ceded := s.release(ctx, name, ranked)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if other := s.borrowing[name]; other != nil && other != held {
		// Another request came first, to whom nothing was handed over then.
		return other
	}
	now := clock.Now()
	held = newBorrower(s.viewer.View().Self, request, level, ceded, now)
	s.borrowing[name] = held
	s.logger.Info().Str(logging.FieldTenant, name).Bool("handed_over", len(ceded) > 0).Float64("level", level).
		Int("rank", ranked.self).Msg("quota_taken_over")
	return held
}

// renew asks for the parts that are missing or grow old, in the background.
func (s *Service) renew(held *borrower, request *quotapb.GrantRequest, ranked ranking) {
	due, renewal := held.beginRenewal(s.lenders(ranked), clock.Now())
	if renewal == nil {
		return
	}
	message := &quotapb.LendRequest{
		Tenant: request.GetTenant(), Borrowing: held.borrowing, Ceded: held.ceded, Rate: request.GetRate(), Burst: request.GetBurst(),
	}
	if !s.begin(func() {
		defer held.endRenewal()
		s.borrowFrom(due, held, message)
	}) {
		held.endRenewal()
	}
}

// lenders returns the edges that may be asked for their parts.
func (s *Service) lenders(ranked ranking) []membership.Member {
	now := clock.Now()
	var found []membership.Member
	for _, members := range [][]membership.Member{ranked.edges, ranked.leaving} {
		for _, each := range members {
			if !s.notReached(each, now) {
				found = append(found, each)
			}
		}
	}
	return found
}

// borrowFrom asks edges for their parts, all at once.
func (s *Service) borrowFrom(lenders []membership.Member, held *borrower, message *quotapb.LendRequest) {
	var asked sync.WaitGroup
	self := s.viewer.View().Self
	for _, each := range lenders {
		asked.Go(func() {
			// The lender counts from its answer on, which is later.
			until := clock.Now().Add(lendingTime)
			response := &quotapb.LendResponse{}
			if each.ID == self {
				response = s.lendPart(message)
			} else if err := s.callEdge(s.ctx, each, methodLend, message, response, lendTimeout); err != nil {
				s.logger.Debug().Str(logging.FieldTenant, message.GetTenant()).Str(logging.FieldPeer, string(each.ID)).Err(err).Msg("part_not_lent")
				return
			}
			if response.GetLent() {
				held.take(each.ID, response, until, clock.Now())
				return
			}
			held.refused(each.ID, time.Duration(response.GetFreeMicros())*time.Microsecond, clock.Now())
		})
	}
	asked.Wait()
}

// lendPart lends this edge's part of a tenant's limit.
func (s *Service) lendPart(request *quotapb.LendRequest) *quotapb.LendResponse {
	ranked := s.rankingOf(request.GetTenant())
	if s.mayNotHaveJoined(ranked) {
		return &quotapb.LendResponse{}
	}
	given := s.lender.lend(request.GetTenant(), request.GetBorrowing(), request.GetCeded(), limitOf(request), ranked.known, clock.Now())
	return &quotapb.LendResponse{
		Lent: given.share > 0, Share: given.share / float64(max(1, ranked.known)), Level: given.level,
		FreeMicros: uint64(given.freeIn.Microseconds()),
	}
}
