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
	// askTimeout bounds the wait for one edge's answer, and with it the time for which a request is held. An edge that asks two before it
	// in vain, seeks a sign of others and takes over needs 2 relayTimeout, contactTimeout and releaseTimeout.
	askTimeout = 120 * time.Millisecond
	// maxAsked is the number of edges that are asked for one request, beside those that are known not to answer.
	maxAsked = 2
	// pauseAfterRefusal is how long requests are refused without a question after the limit was reached, so that a tenant far above it
	// does not keep its grantor busy: at most 17 questions a second of an edge.
	pauseAfterRefusal = 60 * time.Millisecond
	// refusalLogInterval is the least time between two log lines on a tenant that has reached its limit.
	refusalLogInterval = time.Second
)

// Who decided on a request, in the metrics.
const (
	decidedByGrantor = "grantor"
	decidedAlone     = "edge_alone"
)

// requester asks for one tenant's requests. It is safe for concurrent use.
type requester struct {
	service *Service
	tenant  string

	mutex sync.Mutex
	// waiting are the requests that the next question asks for; underWay says that one is under way.
	waiting  []*waiter
	underWay bool
	// limit and version are the newest that a request came with.
	limit   tenant.Limit
	version int64
	// unused are granted requests that were not sent.
	unused int
	// refusedUntil is until when requests are refused without a question, retryAt when those may come back.
	refusedUntil time.Time
	retryAt      time.Time
	loggedAt     time.Time
	// alone is what may be sent while no grantor is reached.
	alone *bucket
}

// waiter is a request that waits for the answer.
type waiter struct {
	decided chan Verdict
	// gone says that the caller waits no more.
	gone bool
}

// admit returns whether a request may be sent.
func (r *requester) admit(ctx context.Context, limit tenant.Limit, version int64) Verdict {
	waiting, verdict := r.enqueue(limit, version, clock.Now())
	if waiting == nil {
		r.service.count(verdict, decidedByGrantor)
		return verdict
	}
	select {
	case verdict = <-waiting.decided:
		return verdict
	case <-ctx.Done():
		r.leave(waiting)
		return Verdict{RetryAfter: askTimeout}
	}
}

// enqueue has the request wait for the next question; waiting is nil where it is refused without one.
func (r *requester) enqueue(limit tenant.Limit, version int64, now time.Time) (waiting *waiter, verdict Verdict) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version > r.version {
		r.limit, r.version = limit, version
		r.refusedUntil = time.Time{}
	}
	if now.Before(r.refusedUntil) {
		return nil, Verdict{RetryAfter: r.retryAt.Sub(now)}
	}
	waiting = &waiter{decided: make(chan Verdict, 1)}
	r.waiting = append(r.waiting, waiting)
	if !r.underWay {
		r.underWay = r.service.begin(r.ask)
		if !r.underWay {
			r.waiting = nil
			return nil, Verdict{RetryAfter: askTimeout}
		}
	}
	return waiting, Verdict{}
}

// leave drops a request whose caller is gone; where it was granted already, that is returned.
func (r *requester) leave(left *waiter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left.gone = true
	select {
	case verdict := <-left.decided:
		if verdict.Admitted {
			r.unused++
		}
	default:
	}
}

// giveBack returns a request that was granted and did not run.
func (r *requester) giveBack() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unused++
}

// ask puts questions until no request waits.
func (r *requester) ask() {
	for {
		asked, request := r.next()
		if asked == nil {
			return
		}
		response := r.service.question(request)
		r.resolve(asked, request, response, clock.Now())
	}
}

// next takes the requests that wait; nil where there are none, after which no question is under way.
func (r *requester) next() (asked []*waiter, request *quotapb.GrantRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.waiting) == 0 || r.service.ctx.Err() != nil {
		for _, each := range r.waiting {
			each.decided <- Verdict{RetryAfter: askTimeout}
		}
		r.waiting, r.underWay = nil, false
		return nil, nil
	}
	asked, r.waiting = r.waiting, nil
	request = &quotapb.GrantRequest{
		Tenant: r.tenant, Wanted: uint32(len(asked)), Returned: uint32(r.unused),
		Rate: r.limit.RequestsPerSecond, Burst: r.limit.Burst, ConfigVersion: r.version,
	}
	r.unused = 0
	return asked, request
}

// question asks the edges that may grant, in their order; nil where none answers.
func (s *Service) question(request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ranked := s.rankingOf(request.GetTenant())
	asked := 0
	for place, peer := range ranked.edges {
		if asked >= maxAsked {
			break
		}
		if place == ranked.self {
			if response := s.grantHere(request); !response.GetElsewhere() {
				return response
			}
			asked++
			continue
		}
		if s.notReached(peer, clock.Now()) {
			continue
		}
		asked++
		if response := s.askPeer(s.ctx, peer, request, askTimeout); response != nil {
			return response
		}
	}
	return nil
}

func (s *Service) grantHere(request *quotapb.GrantRequest) *quotapb.GrantResponse {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	return s.grant(ctx, request)
}

// resolve decides on the requests that were asked for; without an answer this edge decides alone.
func (r *requester) resolve(asked []*waiter, request *quotapb.GrantRequest, response *quotapb.GrantResponse, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	decidedBy := decidedByGrantor
	granted, retryAfter := int(response.GetGranted()), time.Duration(response.GetRetryMicros())*time.Microsecond
	if response == nil {
		decidedBy = decidedAlone
		r.unused += int(request.GetReturned())
		granted, retryAfter = r.takeAlone(len(asked), now)
	}
	for index, each := range asked {
		verdict := Verdict{Admitted: index < granted, RetryAfter: retryAfter}
		if verdict.Admitted {
			verdict.RetryAfter = 0
		}
		r.service.count(verdict, decidedBy)
		if each.gone && verdict.Admitted {
			r.unused++
			continue
		}
		each.decided <- verdict
	}
	if granted < len(asked) {
		r.noteRefusal(len(asked)-granted, retryAfter, decidedBy, now)
	}
}

// takeAlone takes from what this edge may send while it reaches no grantor. The mutex is held.
func (r *requester) takeAlone(wanted int, now time.Time) (taken int, retryAfter time.Duration) {
	ranked := r.service.rankingOf(r.tenant)
	rate := r.service.allowance.unansweredRate(r.limit, ranked.known)
	if r.service.mayNotHaveJoined(ranked) {
		// How many edges share the slack is not known.
		rate = 0
	}
	if r.alone == nil {
		level := 1.0
		if r.service.allowance.lent(r.limit) {
			// One request of each edge at the same moment would be more than the slack where there are many edges.
			level = rand.Float64()
		}
		r.alone = newBucket(tenant.Limit{RequestsPerSecond: rate}, 0, level, now)
	}
	r.alone.limit.RequestsPerSecond = rate
	return r.alone.take(wanted, 1, now)
}

// noteRefusal has further requests refused for a while. The mutex is held.
func (r *requester) noteRefusal(count int, retryAfter time.Duration, decidedBy string, now time.Time) {
	r.retryAt = now.Add(retryAfter)
	if decidedBy == decidedByGrantor {
		r.refusedUntil = now.Add(min(pauseAfterRefusal, retryAfter))
	}
	if now.Sub(r.loggedAt) >= refusalLogInterval {
		r.loggedAt = now
		r.service.logger.Info().Str(logging.FieldTenant, r.tenant).Int("refused", count).Dur("retry_after", retryAfter).Str("decided_by", decidedBy).
			Float64("rate", r.limit.RequestsPerSecond).Float64("burst", r.limit.Burst).Msg("quota_reached")
	}
}

func (s *Service) count(verdict Verdict, decidedBy string) {
	label := "refused"
	if verdict.Admitted {
		label = "admitted"
	}
	s.requests.WithLabelValues(label, decidedBy).Inc()
}
