package quota

import (
	"math"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/tenant"
)

// longestRetry bounds the time that a refused caller gets to come back: rates and demand change.
const longestRetry = time.Second

// bucket is a token bucket whose limit may change at any time. It is not safe for concurrent use.
//
// Invariant: over any span, what is taken is at most the level at its start and the rate in force times its length, plus what was returned.
type bucket struct {
	limit tenant.Limit
	// version is that of the configuration that limit is of.
	version int64
	// level is what may be taken, at most the burst, as of filledAt.
	level    float64
	filledAt time.Time
	// refused are the requests that were refused and are expected back; they are served at the rate.
	refused float64
}

func newBucket(limit tenant.Limit, version int64, level float64, now time.Time) *bucket {
	return &bucket{limit: limit, version: version, level: min(level, capacity(limit)), filledAt: now}
}

// capacity is the highest level: the burst, and at least one request, or none could ever be taken.
func capacity(limit tenant.Limit) float64 { return max(1, limit.Burst) }

// setLimit takes a limit of a configuration that is newer than the one in force.
func (b *bucket) setLimit(limit tenant.Limit, version int64) {
	if version <= b.version {
		return
	}
	b.limit, b.version = limit, version
	b.level = min(b.level, capacity(limit))
}

// fill adds what has come since the last fill at share of the rate.
func (b *bucket) fill(share float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	added := elapsed * b.limit.RequestsPerSecond * share
	b.level = min(capacity(b.limit), b.level+added)
	b.refused = max(0, b.refused-added)
}

// take takes up to wanted requests and returns how many it took; retryAfter is set where it took fewer: when one of those refused can be
// expected to be let through, where those refused before come back in turn.
func (b *bucket) take(wanted int, share float64, now time.Time) (taken int, retryAfter time.Duration) {
	b.fill(share, now)
	taken = min(wanted, int(math.Floor(b.level)))
	b.level -= float64(taken)
	if taken == wanted {
		return taken, 0
	}
	b.refused += float64(wanted - taken)
	return taken, b.untilRoom(share)
}

func (b *bucket) untilRoom(share float64) time.Duration {
	rate := b.limit.RequestsPerSecond * share
	if rate <= 0 {
		return longestRetry
	}
	seconds := max(1-b.level, b.refused) / rate
	return min(longestRetry, time.Duration(seconds*float64(time.Second)))
}

// answer takes in what a request returns, and takes what it wants.
func (b *bucket) answer(request *quotapb.GrantRequest, share float64, now time.Time) *quotapb.GrantResponse {
	b.giveBack(int(request.GetReturned()))
	taken, retryAfter := b.take(int(request.GetWanted()), share, now)
	return &quotapb.GrantResponse{Granted: uint32(taken), RetryMicros: uint64(retryAfter.Microseconds())}
}

// giveBack returns requests that were taken and not run.
func (b *bucket) giveBack(count int) {
	b.level = min(capacity(b.limit), b.level+float64(count))
}
