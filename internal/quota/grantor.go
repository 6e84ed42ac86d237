package quota

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/tenant"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// relayTimeout bounds the wait for a higher-ranked edge: a round trip between zones takes some milliseconds, even if the other edge
	// has a fifth of a core. If an edge is paused for longer because it has used up its CPU quota, the next edge stands in for it until a
	// request reaches it again.
	relayTimeout = 30 * time.Millisecond
	// releaseTimeout bounds the wait for the former grantors. It delays the first request after a change of grantor.
	releaseTimeout = 25 * time.Millisecond
	// releasedSuccessors is the number of lower-ranked edges that may have granted before this one: the next in rank, and the one that
	// stood in for that.
	releasedSuccessors = 2
	// idleAfter is the time without requests after which another edge may have become the grantor and stopped again.
	idleAfter = 3 * time.Second
	// joinGracePeriod is how long after its start an edge that knows no other edge does not grant, since it may not have joined yet.
	joinGracePeriod = 2 * time.Second
)

// grantState is the state of one tenant that this node grants for from a bucket of its own.
type grantState struct {
	// ready is closed when bucket has been set.
	ready chan struct{}
	// mutex guards the fields below.
	mutex    sync.Mutex
	bucket   *bucket
	lastUsed time.Time
	// released is set when another node has taken over as grantor.
	released bool
	// startedAt is when this node began to grant; zero if the previous grantor handed over.
	startedAt time.Time
}

// grant relays a request to the higher-ranked edges, and answers it as the tenant's grantor if none of them does.
func (s *Service) grant(ctx context.Context, request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ranked := s.rankingOf(request.GetTenant())
	if ranked.selfIndex < 0 || s.mayNotHaveJoined(ranked) {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	for _, higherRanked := range ranked.edges[:ranked.selfIndex] {
		if response := s.askPeer(ctx, higherRanked, request, relayTimeout); response != nil {
			return response
		}
	}
	if s.allowance.usesLeases(limitOf(request)) {
		return s.grantFromParts(ctx, request, ranked)
	}
	if !s.contact.established(ctx, s, ranked) {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	for ctx.Err() == nil {
		state := s.grantStateOf(ctx, request, ranked)
		if response := state.serve(request, s.shareOf(ranked, limitOf(request), state.startTime(), clock.Now()), clock.Now()); response != nil {
			return response
		}
	}
	return &quotapb.GrantResponse{Elsewhere: true}
}

// startTime returns when this node began to grant; zero if the previous grantor handed over.
func (g *grantState) startTime() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.startedAt
}

// shareOf returns the share of the limit that this node grants, having started at startedAt. If some edges are not considered alive, the
// other side of a partition may detect it later than this one and grant the whole limit until then.
func (s *Service) shareOf(ranked ranking, limit tenant.Limit, startedAt, now time.Time) float64 {
	otherSideMayGrant := ranked.liveShare < 1 && !startedAt.IsZero() && now.Sub(startedAt) < detectionTime
	if ranked.selfIndex > 0 || otherSideMayGrant {
		return ranked.liveShare * s.allowance.standInShare(limit)
	}
	return ranked.liveShare
}

// mayNotHaveJoined reports whether this node knows no other edge and has started within joinGracePeriod.
func (s *Service) mayNotHaveJoined(ranked ranking) bool {
	return ranked.knownCount <= 1 && clock.Since(s.started) < joinGracePeriod
}

// askPeer asks another edge for a grant. It returns nil if the edge does not answer or does not grant. The order of any two edges is the
// same in every view, so a relayed request only moves to higher ranks and cannot loop.
func (s *Service) askPeer(ctx context.Context, peer membership.Member, request *quotapb.GrantRequest, timeout time.Duration) *quotapb.GrantResponse {
	if s.unreachable(peer, clock.Now()) {
		return nil
	}
	response := &quotapb.GrantResponse{}
	if err := s.callEdge(ctx, peer, methodGrant, request, response, timeout); err != nil {
		s.logger.Info().Str(logging.FieldTenant, request.GetTenant()).Str(logging.FieldPeer, string(peer.ID)).Err(err).
			Msg("grantor_not_reached")
		return nil
	}
	if response.GetElsewhere() {
		return nil
	}
	return response
}

// callEdge calls another edge and records whether it was reached.
func (s *Service) callEdge(
	ctx context.Context, peer membership.Member, method transport.Method, request, response proto.Message, timeout time.Duration,
) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.caller.Call(callCtx, peer.PeerAddress, method, request, response); err != nil {
		// If the caller's context ended first, the edge might still have answered, so this is no timeout of the edge.
		s.noteCallFailure(peer, ctx.Err() == nil && callCtx.Err() != nil, clock.Now())
		return err
	}
	now := clock.Now()
	s.contact.record(now)
	s.zones.Get(peer.Zone).NoteAnswer(now)
	return nil
}

// noteCallFailure records that an edge did not answer. timedOut is set if the call timed out; a refused connection, as after the end
// of the edge's process, is no timeout.
func (s *Service) noteCallFailure(peer membership.Member, timedOut bool, now time.Time) {
	s.unreached.MarkUnreached(peer.PeerAddress, now)
	if timedOut && s.zones.Get(peer.Zone).NoteSilence(string(peer.ID), now) {
		s.logger.Info().Str("zone_cut_off", peer.Zone).Str(logging.FieldPeer, string(peer.ID)).Msg("zone_not_reached")
	}
}

// grantStateOf returns the tenant's state. If this node has none, or an idle one, it takes over from the previous grantor first.
func (s *Service) grantStateOf(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *grantState {
	name := request.GetTenant()
	s.mutex.Lock()
	existing, known := s.grantStates[name]
	if !known || existing.isIdle(clock.Now()) {
		created := &grantState{ready: make(chan struct{}), lastUsed: clock.Now()}
		s.grantStates[name] = created
		s.mutex.Unlock()
		created.activate(s.takeOver(ctx, request, ranked, existing))
		return created
	}
	s.mutex.Unlock()
	select {
	case <-existing.ready:
	case <-ctx.Done():
	}
	return existing
}

func (g *grantState) isIdle(now time.Time) bool {
	select {
	case <-g.ready:
	default:
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return now.Sub(g.lastUsed) > idleAfter
}

// activate sets the bucket and marks the state ready.
func (g *grantState) activate(initial *bucket, handedOver bool) {
	g.mutex.Lock()
	g.bucket = initial
	if !handedOver {
		g.startedAt = clock.Now()
	}
	g.mutex.Unlock()
	close(g.ready)
}

// serve takes requests from the bucket. It returns nil if another node has taken over, or the state is not ready.
func (g *grantState) serve(request *quotapb.GrantRequest, share float64, now time.Time) *quotapb.GrantResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.bucket == nil || g.released {
		return nil
	}
	g.lastUsed = now
	g.bucket.setLimit(limitOf(request), request.GetConfigVersion())
	return g.bucket.serve(request, share, now)
}

// takeOver makes the other edges that may have granted before stop, and returns the bucket that this node starts with; previous is this
// node's own state from when it last granted, or nil.
func (s *Service) takeOver(
	ctx context.Context, request *quotapb.GrantRequest, ranked ranking, previous *grantState,
) (initial *bucket, handedOver bool) {
	limit := limitOf(request)
	s.releaseHigherRanked(request.GetTenant(), ranked)
	level, endedHolders := s.releaseFormerGrantors(ctx, request.GetTenant(), ranked)
	handedOver = len(endedHolders) > 0
	now := clock.Now()
	ownBucket := previous.lastBucket()
	switch {
	case handedOver && ownBucket != nil:
		ownBucket.refill(ranked.liveShare, now)
		level = min(level, ownBucket.level)
	case handedOver:
		// The level is the one that the previous grantor handed over.
	case ownBucket != nil && ranked.selfIndex == 0:
		ownBucket.refill(ranked.liveShare, now)
		level = ownBucket.level
		if ranked.liveShare < 1 {
			// An edge that is now partitioned from this one may have granted in the meantime.
			level = min(level, s.allowance.initialLevel(limit)*ranked.liveShare)
		}
	case s.claimInitialLevel(request.GetTenant(), now):
		// Each side of a partition, which may be a single edge, starts with its share.
		level = s.allowance.initialLevel(limit) * ranked.liveShare
	default:
		level = 0
	}
	s.logger.Info().Str(logging.FieldTenant, request.GetTenant()).Bool("handed_over", handedOver).Float64("level", level).
		Int("rank", ranked.selfIndex).Float64("share", ranked.liveShare).Msg("quota_taken_over")
	return newBucket(limit, request.GetConfigVersion(), level, now), handedOver
}

// claimInitialLevel reports whether this node may start a bucket with a part of the slack, which it may once per window, and records that it
// does.
func (s *Service) claimInitialLevel(tenantName string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last, known := s.initialLevelUsedAt[tenantName]; known && now.Sub(last) < s.allowance.Window {
		return false
	}
	s.initialLevelUsedAt[tenantName] = now
	return true
}

// lastBucket returns the bucket of g; nil if g is nil.
func (g *grantState) lastBucket() *bucket {
	if g == nil {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.bucket
}

// releaseHigherRanked tells the higher-ranked edges to stop granting. It does not wait for an answer: they were not reached, and may receive
// the message later.
func (s *Service) releaseHigherRanked(tenantName string, ranked ranking) {
	for _, higherRanked := range ranked.edges[:ranked.selfIndex] {
		if err := s.caller.Send(higherRanked.PeerAddress, methodRelease, &quotapb.ReleaseRequest{Tenant: tenantName}); err != nil {
			s.logger.Debug().Err(err).Str(logging.FieldPeer, string(higherRanked.ID)).Msg("release_not_sent")
		}
	}
}

// releaseFormerGrantors makes the edges that may have granted before this one stop, and waits for their answers. endedHolders has an entry
// for each that did grant: its lease holder, or an empty string if it leased no parts. level is the lowest level that one of them had
// left.
func (s *Service) releaseFormerGrantors(ctx context.Context, tenantName string, ranked ranking) (level float64, endedHolders []string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	message := &quotapb.ReleaseRequest{Tenant: tenantName}
	former := ranked.formerGrantors(releasedSuccessors)
	answers := make(chan *quotapb.ReleaseResponse, len(former))
	for _, peer := range former {
		go func() {
			response := &quotapb.ReleaseResponse{}
			if err := s.caller.Call(ctx, peer.PeerAddress, methodRelease, message, response); err != nil {
				s.logger.Debug().Err(err).Str(logging.FieldPeer, string(peer.ID)).Msg("release_not_answered")
			}
			answers <- response
		}()
	}
	for range former {
		answer := <-answers
		if !answer.GetHeld() {
			continue
		}
		if len(endedHolders) == 0 || answer.GetLevel() < level {
			level = answer.GetLevel()
		}
		endedHolders = append(endedHolders, answer.GetCeded())
	}
	return level, endedHolders
}

// handOver stops granting for a tenant and returns what was left.
func (s *Service) handOver(tenantName string) *quotapb.ReleaseResponse {
	s.mutex.Lock()
	borrower, borrows := s.borrowers[tenantName]
	delete(s.borrowers, tenantName)
	state, known := s.grantStates[tenantName]
	delete(s.grantStates, tenantName)
	s.mutex.Unlock()
	if borrows {
		return borrower.release(clock.Now())
	}
	if !known {
		return &quotapb.ReleaseResponse{}
	}
	share := s.rankingOf(tenantName).liveShare
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.released = true
	if state.bucket == nil {
		// This node was itself still taking over.
		return &quotapb.ReleaseResponse{}
	}
	state.bucket.refill(share, clock.Now())
	return &quotapb.ReleaseResponse{Held: true, Level: state.bucket.level}
}

// limitOf returns the limit carried by a message.
func limitOf(request interface {
	GetRate() float64
	GetBurst() float64
}) tenant.Limit {
	return tenant.Limit{RequestsPerSecond: request.GetRate(), Burst: request.GetBurst()}
}
