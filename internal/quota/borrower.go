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
	// lendCallTimeout bounds a call for a part. An edge that has used up its CPU quota is paused for up to 0.1 s.
	lendCallTimeout = 200 * time.Millisecond
	// partsWaitTimeout bounds how long a request waits for parts that are being leased; most edges answer within a few milliseconds.
	partsWaitTimeout = 30 * time.Millisecond
	// renewalAge is the age at which the lease of a part is renewed.
	renewalAge = leaseDuration / 2
	// startupSettleTime is how long after its start an edge leases no parts. Until then it knows few edges and so ranks first for many
	// tenants; the parts that it leased would be unused for leaseDuration. Edges that start together know each other after 0.1 to 0.3 s.
	startupSettleTime = 300 * time.Millisecond
)

// borrower grants one tenant's requests from the parts that it has leased from other edges. It is safe for concurrent use.
type borrower struct {
	// leaseHolder identifies this grantor's term to the lenders.
	leaseHolder string
	// endedHolders are the lease holders whose terms ended when this one began. Lenders may lease out their parts again before expiry.
	endedHolders []string

	// mutex guards the fields below.
	mutex  sync.Mutex
	bucket *bucket
	parts  map[membership.NodeID]borrowedPart
	// retryAt is when edges that refused to lend are asked again.
	retryAt map[membership.NodeID]time.Time
	// renewal is closed when the renewal in flight ends; nil while there is none.
	renewal  chan struct{}
	lastUsed time.Time
	// firstRenewalDone is set when the first renewal has ended. Until then the level may exceed the burst of the parts held, since it was
	// handed over with parts that are still to be leased.
	firstRenewalDone bool
	// released is set when another node has taken over as grantor.
	released bool
}

// borrowedPart is the part leased from one edge.
type borrowedPart struct {
	// share is the fraction of the tenant's limit.
	share float64
	// expiresAt is counted from before the lender was asked, so that it is earlier than the lender's own expiry.
	expiresAt time.Time
}

// newBorrower returns a borrower without parts; level is the level that the previous grantor handed over.
func newBorrower(name membership.NodeID, request *quotapb.GrantRequest, level float64, endedHolders []string, now time.Time) *borrower {
	return &borrower{
		leaseHolder:  string(name) + "/" + strconv.FormatInt(now.UnixNano(), 10),
		endedHolders: endedHolders,
		bucket:       newBucket(limitOf(request), request.GetConfigVersion(), level, now),
		parts:        map[membership.NodeID]borrowedPart{},
		retryAt:      map[membership.NodeID]time.Time{},
		lastUsed:     now,
	}
}

// collect drops expired parts, refills the bucket at the rate of the remaining ones, and caps its level at their burst. What an expired part
// accrued between the last call and its expiry is not counted. It returns the sum of the shares held. The caller must hold mutex.
func (b *borrower) collect(now time.Time) (share float64) {
	for lender, part := range b.parts {
		if !now.Before(part.expiresAt) {
			delete(b.parts, lender)
			continue
		}
		share += part.share
	}
	b.bucket.refill(share, now)
	if b.firstRenewalDone {
		b.bucket.level = min(b.bucket.level, share*b.bucket.limit.Burst)
	}
	return share
}

// serve takes requests from the bucket. It returns nil if this node is no longer the grantor or holds no parts.
func (b *borrower) serve(request *quotapb.GrantRequest, now time.Time) *quotapb.GrantResponse {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.released {
		return nil
	}
	b.bucket.setLimit(limitOf(request), request.GetConfigVersion())
	share := b.collect(now)
	if share == 0 {
		// The requester gives its unsent requests back to another grantor.
		return nil
	}
	return b.bucket.serve(request, share, now)
}

// lacks reports whether the bucket holds fewer than wanted requests.
func (b *borrower) lacks(wanted uint32, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	return b.bucket.level < float64(wanted)
}

// addPart adds a leased part and the level that comes with it.
func (b *borrower) addPart(from membership.NodeID, response *quotapb.LendResponse, expiresAt, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	if b.released || !now.Before(expiresAt) {
		return
	}
	b.parts[from] = borrowedPart{share: response.GetShare(), expiresAt: expiresAt}
	b.bucket.level += response.GetLevel()
}

// noteRefusal records that an edge refused to lend its part, and after what time it may be asked again. With a call for each request, twenty
// edges received 1,476 calls in the second after a grantor's death; with the delay that the lender returns it is 54.
func (b *borrower) noteRefusal(lender membership.NodeID, availableIn time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if availableIn <= 0 {
		availableIn = renewalAge
	}
	b.retryAt[lender] = now.Add(availableIn)
}

// renewalDue reports whether an edge is to be asked for its part. The caller must hold mutex.
func (b *borrower) renewalDue(lender membership.NodeID, now time.Time) bool {
	if part, held := b.parts[lender]; held {
		return part.expiresAt.Sub(now) <= leaseDuration-renewalAge
	}
	return !now.Before(b.retryAt[lender])
}

// release ends this node's term as grantor and returns the remaining level.
func (b *borrower) release(now time.Time) *quotapb.ReleaseResponse {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collect(now)
	b.released = true
	return &quotapb.ReleaseResponse{Held: true, Level: b.bucket.level, Ceded: b.leaseHolder}
}

// beginRenewal returns the edges that are to be asked for their parts, and the channel that is closed when the renewal ends. It returns nil
// if a renewal is already in flight or none is due.
func (b *borrower) beginRenewal(candidates []membership.Member, now time.Time) (due []membership.Member, renewal chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastUsed = now
	if b.renewal != nil {
		return nil, nil
	}
	for _, candidate := range candidates {
		if b.renewalDue(candidate.ID, now) {
			due = append(due, candidate)
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
	b.firstRenewalDone = true
}

// pendingRenewal returns the channel that is closed when the renewal in flight ends; nil if there is none.
func (b *borrower) pendingRenewal() chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.renewal
}

func (b *borrower) isIdle(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return now.Sub(b.lastUsed) > idleAfter
}

// grantFromParts answers a request from leased parts. If this node holds none, the answer refers the requester elsewhere.
func (s *Service) grantFromParts(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *quotapb.GrantResponse {
	if clock.Since(s.started) < startupSettleTime {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	holder := s.borrowerOf(ctx, request, ranked)
	s.renewParts(holder, request, ranked)
	if renewal := holder.pendingRenewal(); renewal != nil && holder.lacks(request.GetWanted(), clock.Now()) {
		waitCtx, cancel := context.WithTimeout(ctx, partsWaitTimeout)
		defer cancel()
		select {
		case <-renewal:
		case <-waitCtx.Done():
		}
	}
	if response := holder.serve(request, clock.Now()); response != nil {
		return response
	}
	return &quotapb.GrantResponse{Elsewhere: true}
}

// borrowerOf returns the tenant's borrower. Before it creates one it makes the former grantors stop.
func (s *Service) borrowerOf(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *borrower {
	name := request.GetTenant()
	s.mutex.Lock()
	current, known := s.borrowers[name]
	s.mutex.Unlock()
	if known && !current.isIdle(clock.Now()) {
		return current
	}
	level, endedHolders := s.releaseFormerGrantors(ctx, name, ranked)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if concurrent := s.borrowers[name]; concurrent != nil && concurrent != current {
		// A concurrent request created the borrower first; nothing was handed over to this one then.
		return concurrent
	}
	now := clock.Now()
	current = newBorrower(s.viewer.View().Self, request, level, endedHolders, now)
	s.borrowers[name] = current
	s.logger.Info().Str(logging.FieldTenant, name).Bool("handed_over", len(endedHolders) > 0).Float64("level", level).
		Int("rank", ranked.selfIndex).Msg("quota_taken_over")
	return current
}

// renewParts asks in the background for the parts that are missing or due for renewal.
func (s *Service) renewParts(holder *borrower, request *quotapb.GrantRequest, ranked ranking) {
	due, renewal := holder.beginRenewal(s.lenders(ranked), clock.Now())
	if renewal == nil {
		return
	}
	message := &quotapb.LendRequest{
		Tenant: request.GetTenant(), Borrowing: holder.leaseHolder, Ceded: holder.endedHolders,
		Rate: request.GetRate(), Burst: request.GetBurst(),
	}
	if !s.startBackground(func() {
		defer holder.endRenewal()
		s.borrowParts(due, holder, message)
	}) {
		holder.endRenewal()
	}
}

// lenders returns the reachable edges, including those that are leaving.
func (s *Service) lenders(ranked ranking) []membership.Member {
	now := clock.Now()
	var reachable []membership.Member
	for _, members := range [][]membership.Member{ranked.edges, ranked.leaving} {
		for _, member := range members {
			if !s.unreachable(member, now) {
				reachable = append(reachable, member)
			}
		}
	}
	return reachable
}

// borrowParts asks the given edges for their parts concurrently and waits for all answers.
func (s *Service) borrowParts(lenders []membership.Member, holder *borrower, message *quotapb.LendRequest) {
	var calls sync.WaitGroup
	self := s.viewer.View().Self
	for _, lender := range lenders {
		calls.Go(func() {
			// The lender counts its lease from its answer, which is later.
			expiresAt := clock.Now().Add(leaseDuration)
			response := &quotapb.LendResponse{}
			if lender.ID == self {
				response = s.lendPart(message)
			} else if err := s.callEdge(s.ctx, lender, methodLend, message, response, lendCallTimeout); err != nil {
				s.logger.Debug().Str(logging.FieldTenant, message.GetTenant()).Str(logging.FieldPeer, string(lender.ID)).Err(err).
					Msg("part_not_lent")
				return
			}
			if response.GetLent() {
				holder.addPart(lender.ID, response, expiresAt, clock.Now())
				return
			}
			holder.noteRefusal(lender.ID, time.Duration(response.GetFreeMicros())*time.Microsecond, clock.Now())
		})
	}
	calls.Wait()
}

// lendPart leases this edge's part of a tenant's limit to the requesting grantor.
func (s *Service) lendPart(request *quotapb.LendRequest) *quotapb.LendResponse {
	ranked := s.rankingOf(request.GetTenant())
	if s.mayNotHaveJoined(ranked) {
		return &quotapb.LendResponse{}
	}
	granted := s.lender.lend(
		request.GetTenant(), request.GetBorrowing(), request.GetCeded(), limitOf(request), ranked.knownCount, clock.Now(),
	)
	return &quotapb.LendResponse{
		Lent: granted.share > 0, Share: granted.share / float64(max(1, ranked.knownCount)), Level: granted.level,
		FreeMicros: uint64(granted.availableIn.Microseconds()),
	}
}
