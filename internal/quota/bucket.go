package quota

import (
	"math"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/tenant"
)

// maxRetryAfter bounds the retry delay given to a refused caller, because rates and demand change.
const maxRetryAfter = time.Second

// bucket is a token bucket whose limit may change at any time. It is not safe for concurrent use.
//
// Invariant: the requests taken in any span are at most the level at its start, plus the rate in force times its length, plus the requests
// given back.
type bucket struct {
	limit tenant.Limit
	// version is the version of the configuration that limit comes from.
	version int64
	// level is the number of requests that may be taken as of filledAt, at most capacity(limit).
	level    float64
	filledAt time.Time
	// expectedRetries is the number of refused requests that are expected to be retried. It drains at the rate.
	expectedRetries float64
}

func newBucket(limit tenant.Limit, version int64, level float64, now time.Time) *bucket {
	return &bucket{limit: limit, version: version, level: min(level, capacity(limit)), filledAt: now}
}

// capacity returns the highest level: the burst, but at least one request, as otherwise none could ever be taken.
func capacity(limit tenant.Limit) float64 { return max(1, limit.Burst) }

// setLimit puts limit in force if its configuration version is newer than the current one.
func (b *bucket) setLimit(limit tenant.Limit, version int64) {
	if version <= b.version {
		return
	}
	b.limit, b.version = limit, version
	b.level = min(b.level, capacity(limit))
}

// refill adds the requests accrued since the last refill at the given share of the rate.
func (b *bucket) refill(share float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	added := elapsed * b.limit.RequestsPerSecond * share
	b.level = min(capacity(b.limit), b.level+added)
	b.expectedRetries = max(0, b.expectedRetries-added)
}

// take takes up to wanted requests and returns how many it took. If it took fewer, retryAfter is the time until a refused request can be
// expected to be admitted, given that the requests refused before it are retried first.
func (b *bucket) take(wanted int, share float64, now time.Time) (taken int, retryAfter time.Duration) {
	b.refill(share, now)
	taken = min(wanted, int(math.Floor(b.level)))
	b.level -= float64(taken)
	if taken == wanted {
		return taken, 0
	}
	b.expectedRetries += float64(wanted - taken)
	return taken, b.untilAvailable(share)
}

// untilAvailable returns the time until the next request can be admitted after the expected retries, at most maxRetryAfter.
func (b *bucket) untilAvailable(share float64) time.Duration {
	rate := b.limit.RequestsPerSecond * share
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := max(1-b.level, b.expectedRetries) / rate
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// serve gives back the unsent requests that request returns, then takes those that it wants.
func (b *bucket) serve(request *quotapb.GrantRequest, share float64, now time.Time) *quotapb.GrantResponse {
	b.giveBack(int(request.GetReturned()))
	taken, retryAfter := b.take(int(request.GetWanted()), share, now)
	return &quotapb.GrantResponse{Granted: uint32(taken), RetryMicros: uint64(retryAfter.Microseconds())}
}

// giveBack returns requests to the bucket that were taken but did not run.
func (b *bucket) giveBack(count int) {
	b.level = min(capacity(b.limit), b.level+float64(count))
}
