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
	// relayTimeout bounds the wait for an edge that ranks before this one: a message between zones takes some ms there and back, also
	// where the other has a fifth of a core. One that stands still for longer, having spent its processor time, is stood in for, and
	// takes the tenant back when it is asked again.
	relayTimeout = 30 * time.Millisecond
	// releaseTimeout bounds the wait for the grantor before, and is on the way of the first request after a change of the grantor.
	releaseTimeout = 25 * time.Millisecond
	// releasedSuccessors is the number of edges behind this one in rank that may have granted before: the next one, and the one that
	// stood in for it.
	releasedSuccessors = 2
	// idleAfter is the time without requests after which another edge may have become the grantor and ceased again.
	idleAfter = 3 * time.Second
	// joinTime is how long after its start an edge that knows no other does not grant: it has not met the others yet.
	joinTime = 2 * time.Second
)

// grants is what this node knows of one tenant that it grants for. Its bucket is used once ready is closed.
type grants struct {
	ready chan struct{}
	// mutex guards the fields below.
	mutex    sync.Mutex
	bucket   *bucket
	lastUsed time.Time
	// released says that another node grants from now on.
	released bool
	// begunAt is when this node began to grant; zero where the one before handed over.
	begunAt time.Time
}

// grant answers a request as the tenant's grantor, or has one that ranks before this node answer it.
func (s *Service) grant(ctx context.Context, request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ranked := s.rankingOf(request.GetTenant())
	if ranked.self < 0 || s.mayNotHaveJoined(ranked) {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	for _, before := range ranked.edges[:ranked.self] {
		if response := s.askPeer(ctx, before, request, relayTimeout); response != nil {
			return response
		}
	}
	if s.allowance.lent(limitOf(request)) {
		return s.grantFromParts(ctx, request, ranked)
	}
	if !s.contact.established(ctx, s, ranked) {
		return &quotapb.GrantResponse{Elsewhere: true}
	}
	for ctx.Err() == nil {
		held := s.grantsOf(ctx, request, ranked)
		if response := held.answer(request, s.shareOf(ranked, limitOf(request), held.begun(), clock.Now()), clock.Now()); response != nil {
			return response
		}
	}
	return &quotapb.GrantResponse{Elsewhere: true}
}

// begun returns when this node began to grant without a handover.
func (g *grants) begun() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.begunAt
}

// shareOf returns the part of the limit that this node grants, which began to at begunAt. Where some edges are not known to live, the other
// side of a cut may learn of it later than this one, and grants the whole limit until then.
func (s *Service) shareOf(ranked ranking, limit tenant.Limit, begunAt, now time.Time) float64 {
	otherSide := ranked.share < 1 && !begunAt.IsZero() && now.Sub(begunAt) < detectionTime
	if ranked.self > 0 || otherSide {
		return ranked.share * s.allowance.standInShare(limit)
	}
	return ranked.share
}

// mayNotHaveJoined says that this node knows no other edge, soon after its start.
func (s *Service) mayNotHaveJoined(ranked ranking) bool {
	return ranked.known <= 1 && clock.Since(s.started) < joinTime
}

// askPeer asks another edge; nil where it gives no answer or does not grant. Ranks do not depend on a node's view, so that a request that
// is passed on comes to ever higher ranks and ends.
func (s *Service) askPeer(ctx context.Context, peer membership.Member, request *quotapb.GrantRequest, longest time.Duration) *quotapb.GrantResponse {
	if s.notReached(peer, clock.Now()) {
		return nil
	}
	response := &quotapb.GrantResponse{}
	if err := s.callEdge(ctx, peer, methodGrant, request, response, longest); err != nil {
		s.logger.Info().Str(logging.FieldTenant, request.GetTenant()).Str(logging.FieldPeer, string(peer.ID)).Err(err).Msg("grantor_not_reached")
		return nil
	}
	if response.GetElsewhere() {
		return nil
	}
	return response
}

// callEdge calls another edge, and notes whether it is reached.
func (s *Service) callEdge(ctx context.Context, peer membership.Member, method transport.Method, request, response proto.Message, longest time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	if err := s.caller.Call(bounded, peer.PeerAddress, method, request, response); err != nil {
		// Where the caller's own time ended first the edge may answer yet.
		s.noteNoAnswer(peer, ctx.Err() == nil && bounded.Err() != nil, clock.Now())
		return err
	}
	now := clock.Now()
	s.contact.note(now)
	s.zones.Of(peer.Zone).NoteAnswer(now)
	return nil
}

// noteNoAnswer takes in that an edge gave no answer; silent says that it did not refuse either, as an edge does whose process has ended.
func (s *Service) noteNoAnswer(peer membership.Member, silent bool, now time.Time) {
	s.unreached.Note(peer.PeerAddress, now)
	if silent && s.zones.Of(peer.Zone).NoteSilence(string(peer.ID), now) {
		s.logger.Info().Str("zone_cut_off", peer.Zone).Str(logging.FieldPeer, string(peer.ID)).Msg("zone_not_reached")
	}
}

// grantsOf returns the tenant's bucket, which is taken over from the grantor before where this node has none.
func (s *Service) grantsOf(ctx context.Context, request *quotapb.GrantRequest, ranked ranking) *grants {
	name := request.GetTenant()
	s.mutex.Lock()
	held, known := s.granting[name]
	if !known || held.isIdle(clock.Now()) {
		next := &grants{ready: make(chan struct{}), lastUsed: clock.Now()}
		s.granting[name] = next
		s.mutex.Unlock()
		next.begin(s.takeOver(ctx, request, ranked, held))
		return next
	}
	s.mutex.Unlock()
	select {
	case <-held.ready:
	case <-ctx.Done():
	}
	return held
}

func (g *grants) isIdle(now time.Time) bool {
	select {
	case <-g.ready:
	default:
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return now.Sub(g.lastUsed) > idleAfter
}

// begin makes the grants usable.
func (g *grants) begin(taken *bucket, handedOver bool) {
	g.mutex.Lock()
	g.bucket = taken
	if !handedOver {
		g.begunAt = clock.Now()
	}
	g.mutex.Unlock()
	close(g.ready)
}

// answer takes requests from the bucket; nil where another node grants by now.
func (g *grants) answer(request *quotapb.GrantRequest, share float64, now time.Time) *quotapb.GrantResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.bucket == nil || g.released {
		return nil
	}
	g.lastUsed = now
	g.bucket.setLimit(limitOf(request), request.GetConfigVersion())
	return g.bucket.answer(request, share, now)
}

// takeOver has the others that may have granted before cease to, and returns the bucket that this node goes on with; before is what
// this node itself had when it granted last, or nil.
func (s *Service) takeOver(ctx context.Context, request *quotapb.GrantRequest, ranked ranking, before *grants) (taken *bucket, handedOver bool) {
	limit := limitOf(request)
	s.releaseThoseBefore(request.GetTenant(), ranked)
	level, ended := s.release(ctx, request.GetTenant(), ranked)
	handedOver = len(ended) > 0
	now := clock.Now()
	own := before.bucketBefore()
	switch {
	case handedOver && own != nil:
		own.fill(ranked.share, now)
		level = min(level, own.level)
	case handedOver:
		// The level is that of the grantor before.
	case own != nil && ranked.self == 0:
		own.fill(ranked.share, now)
		level = own.level
		if ranked.share < 1 {
			// Another edge may have granted meanwhile that is cut off from this one now.
			level = min(level, s.allowance.initial(limit)*ranked.share)
		}
	case s.mayBeginAnew(request.GetTenant(), now):
		// Each side of a cut, which may be one edge, begins with its share.
		level = s.allowance.initial(limit) * ranked.share
	default:
		level = 0
	}
	s.logger.Info().Str(logging.FieldTenant, request.GetTenant()).Bool("handed_over", handedOver).Float64("level", level).
		Int("rank", ranked.self).Float64("share", ranked.share).Msg("quota_taken_over")
	return newBucket(limit, request.GetConfigVersion(), level, now), handedOver
}

// mayBeginAnew says that this node has not begun to grant with a part of the slack within the last window.
func (s *Service) mayBeginAnew(tenantName string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last, known := s.begun[tenantName]; known && now.Sub(last) < s.allowance.Window {
		return false
	}
	s.begun[tenantName] = now
	return true
}

// bucketBefore returns the bucket of grants that are over; nil where there are none.
func (g *grants) bucketBefore() *bucket {
	if g == nil {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.bucket
}

// releaseThoseBefore has edges that rank before this one cease to grant; they do not answer, and may read this later.
func (s *Service) releaseThoseBefore(tenantName string, ranked ranking) {
	for _, before := range ranked.edges[:ranked.self] {
		if err := s.caller.Send(before.PeerAddress, methodRelease, &quotapb.ReleaseRequest{Tenant: tenantName}); err != nil {
			s.logger.Debug().Err(err).Str(logging.FieldPeer, string(before.ID)).Msg("release_not_sent")
		}
	}
}

// release has those cease to grant that may have stood in for this edge; ended names what they borrowed, an empty text each where that
// was nothing, and level is the least that one of them had left.
func (s *Service) release(ctx context.Context, tenantName string, ranked ranking) (level float64, ended []string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	message := &quotapb.ReleaseRequest{Tenant: tenantName}
	asked := ranked.formerGrantors(releasedSuccessors)
	answers := make(chan *quotapb.ReleaseResponse, len(asked))
	for _, peer := range asked {
		go func() {
			response := &quotapb.ReleaseResponse{}
			if err := s.caller.Call(ctx, peer.PeerAddress, methodRelease, message, response); err != nil {
				s.logger.Debug().Err(err).Str(logging.FieldPeer, string(peer.ID)).Msg("release_not_answered")
			}
			answers <- response
		}()
	}
	for range asked {
		answer := <-answers
		if !answer.GetHeld() {
			continue
		}
		if len(ended) == 0 || answer.GetLevel() < level {
			level = answer.GetLevel()
		}
		ended = append(ended, answer.GetCeded())
	}
	return level, ended
}

// handOver ceases to grant for a tenant.
func (s *Service) handOver(tenantName string) *quotapb.ReleaseResponse {
	s.mutex.Lock()
	borrower, borrows := s.borrowing[tenantName]
	delete(s.borrowing, tenantName)
	held, known := s.granting[tenantName]
	delete(s.granting, tenantName)
	s.mutex.Unlock()
	if borrows {
		return borrower.release(clock.Now())
	}
	if !known {
		return &quotapb.ReleaseResponse{}
	}
	share := s.rankingOf(tenantName).share
	held.mutex.Lock()
	defer held.mutex.Unlock()
	held.released = true
	if held.bucket == nil {
		// It was just taking over itself.
		return &quotapb.ReleaseResponse{}
	}
	held.bucket.fill(share, clock.Now())
	return &quotapb.ReleaseResponse{Held: true, Level: held.bucket.level}
}

// limitOf returns the limit that a message names.
func limitOf(request interface {
	GetRate() float64
	GetBurst() float64
}) tenant.Limit {
	return tenant.Limit{RequestsPerSecond: request.GetRate(), Burst: request.GetBurst()}
}
