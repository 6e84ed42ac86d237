package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/tenant"
)

const (
	// askTimeout bounds the wait for one edge's answer, and with it the time for which a request is held. An edge that relays to two
	// higher-ranked edges without an answer, probes for contact and takes over needs 2*relayTimeout + contactTimeout + releaseTimeout.
	askTimeout = 120 * time.Millisecond
	// maxEdgesAsked is the number of edges that are asked for one batch, not counting those known to be unreachable.
	maxEdgesAsked = 2
	// refusalHoldTime is how long requests are refused locally after the grantor refused one, so that a tenant far above its limit does
	// not overload its grantor: at most 17 calls per second from each edge.
	refusalHoldTime = 60 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines about a tenant that has reached its limit.
	refusalLogInterval = time.Second
)

// Values of the metric label decided_by.
const (
	decidedByGrantor      = "grantor"
	decidedWithoutGrantor = "edge_alone"
)

// requester obtains grants for one tenant's requests on this edge. It is safe for concurrent use.
type requester struct {
	service *Service
	tenant  string

	mutex sync.Mutex
	// pending are the requests that the next call asks for.
	pending []*waiter
	// asking is set while askUntilEmpty runs.
	asking bool
	// limit and version are the newest that a request has brought.
	limit   tenant.Limit
	version int64
	// unsent is the number of granted requests that were not sent and are to be given back with the next call.
	unsent int
	// refusedUntil is until when requests are refused without a call.
	refusedUntil time.Time
	// retryAt is when the callers of these requests may retry.
	retryAt         time.Time
	refusalLoggedAt time.Time
	// localBucket limits the requests sent while no grantor is reached.
	localBucket *bucket
}

// waiter is a request that waits for its verdict.
type waiter struct {
	decided chan Verdict
	// abandoned is set when the caller no longer waits.
	abandoned bool
}

// admit decides whether a request may be sent. It waits for the grantor's answer, at most until ctx ends.
func (r *requester) admit(ctx context.Context, limit tenant.Limit, version int64) Verdict {
	queued, verdict := r.enqueue(limit, version, clock.Now())
	if queued == nil {
		r.service.count(verdict, decidedByGrantor)
		return verdict
	}
	select {
	case verdict = <-queued.decided:
		return verdict
	case <-ctx.Done():
		r.abandon(queued)
		return Verdict{RetryAfter: askTimeout}
	}
}

// enqueue adds the request to the next call. It returns a nil waiter and a verdict if the request is refused without a call.
func (r *requester) enqueue(limit tenant.Limit, version int64, now time.Time) (queued *waiter, verdict Verdict) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version > r.version {
		r.limit, r.version = limit, version
		r.refusedUntil = time.Time{}
	}
	if now.Before(r.refusedUntil) {
		return nil, Verdict{RetryAfter: r.retryAt.Sub(now)}
	}
	queued = &waiter{decided: make(chan Verdict, 1)}
	r.pending = append(r.pending, queued)
	if !r.asking {
		r.asking = r.service.startBackground(r.askUntilEmpty)
		if !r.asking {
			r.pending = nil
			return nil, Verdict{RetryAfter: askTimeout}
		}
	}
	return queued, Verdict{}
}

// abandon marks a request whose caller no longer waits. If it was already granted, the grant is given back.
func (r *requester) abandon(queued *waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	queued.abandoned = true
	select {
	case verdict := <-queued.decided:
		if verdict.Admitted {
			r.unsent++
		}
	default:
	}
}

// giveBack returns a request that was granted but did not run.
func (r *requester) giveBack() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unsent++
}

// askUntilEmpty calls for grants until no request is pending.
func (r *requester) askUntilEmpty() {
	for {
		batch, request := r.nextBatch()
		if batch == nil {
			return
		}
		response := r.service.requestGrant(request)
		r.resolve(batch, request, response, clock.Now())
	}
}

// nextBatch takes the pending requests. If there are none, or the Service has stopped, it refuses those left, clears asking and returns
// nil.
func (r *requester) nextBatch() (batch []*waiter, request *quotapb.GrantRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.pending) == 0 || r.service.ctx.Err() != nil {
		for _, queued := range r.pending {
			queued.decided <- Verdict{RetryAfter: askTimeout}
		}
		r.pending, r.asking = nil, false
		return nil, nil
	}
	batch, r.pending = r.pending, nil
	request = &quotapb.GrantRequest{
		Tenant: r.tenant, Wanted: uint32(len(batch)), Returned: uint32(r.unsent),
		Rate: r.limit.RequestsPerSecond, Burst: r.limit.Burst, ConfigVersion: r.version,
	}
	r.unsent = 0
	return batch, request
}

// requestGrant asks the edges in rank order for a grant; nil if none of them grants.
func (s *Service) requestGrant(request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ranked := s.rankingOf(request.GetTenant())
	asked := 0
	for index, peer := range ranked.edges {
		if asked >= maxEdgesAsked {
			break
		}
		if index == ranked.selfIndex {
			if response := s.grantLocally(request); !response.GetElsewhere() {
				return response
			}
			asked++
			continue
		}
		if s.unreachable(peer, clock.Now()) {
			continue
		}
		asked++
		if response := s.askPeer(s.ctx, peer, request, askTimeout); response != nil {
			return response
		}
	}
	return nil
}

func (s *Service) grantLocally(request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	return s.grant(ctx, request)
}

// resolve decides the requests of a batch by the grantor's response, or by the local bucket if response is nil.
func (r *requester) resolve(batch []*waiter, request *quotapb.GrantRequest, response *quotapb.GrantResponse, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	decidedBy := decidedByGrantor
	granted, retryAfter := int(response.GetGranted()), time.Duration(response.GetRetryMicros())*time.Microsecond
	if response == nil {
		decidedBy = decidedWithoutGrantor
		r.unsent += int(request.GetReturned())
		granted, retryAfter = r.takeWithoutGrantor(len(batch), now)
	}
	for index, queued := range batch {
		verdict := Verdict{Admitted: index < granted, RetryAfter: retryAfter}
		if verdict.Admitted {
			verdict.RetryAfter = 0
		}
		r.service.count(verdict, decidedBy)
		if queued.abandoned && verdict.Admitted {
			r.unsent++
			continue
		}
		queued.decided <- verdict
	}
	if granted < len(batch) {
		r.noteRefusal(len(batch)-granted, retryAfter, decidedBy, now)
	}
}

// takeWithoutGrantor takes requests from the local bucket, which is used while no grantor is reached. The caller must hold mutex.
func (r *requester) takeWithoutGrantor(wanted int, now time.Time) (taken int, retryAfter time.Duration) {
	ranked := r.service.rankingOf(r.tenant)
	rate := r.service.allowance.rateWithoutGrantor(r.limit, ranked.knownCount)
	if r.service.mayNotHaveJoined(ranked) {
		// The number of edges that share the slack is not known yet.
		rate = 0
	}
	if r.localBucket == nil {
		level := 1.0
		if r.service.allowance.usesLeases(r.limit) {
			// With many edges, one request from each at the same moment would exceed the slack.
			level = rand.Float64()
		}
		r.localBucket = newBucket(tenant.Limit{RequestsPerSecond: rate}, 0, level, now)
	}
	r.localBucket.limit.RequestsPerSecond = rate
	return r.localBucket.take(wanted, 1, now)
}

// noteRefusal makes further requests be refused locally for a while if the grantor refused, and logs the refusal. The caller must hold
// mutex.
func (r *requester) noteRefusal(count int, retryAfter time.Duration, decidedBy string, now time.Time) {
	r.retryAt = now.Add(retryAfter)
	if decidedBy == decidedByGrantor {
		r.refusedUntil = now.Add(min(refusalHoldTime, retryAfter))
	}
	if now.Sub(r.refusalLoggedAt) >= refusalLogInterval {
		r.refusalLoggedAt = now
		r.service.logger.Info().Str(logging.FieldTenant, r.tenant).Int("refused", count).Dur("retry_after", retryAfter).
			Str("decided_by", decidedBy).Float64("rate", r.limit.RequestsPerSecond).Float64("burst", r.limit.Burst).Msg("quota_reached")
	}
}

func (s *Service) count(verdict Verdict, decidedBy string) {
	label := "refused"
	if verdict.Admitted {
		label = "admitted"
	}
	s.requests.WithLabelValues(label, decidedBy).Inc()
}
