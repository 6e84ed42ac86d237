package platform

import (
	"context"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// minimumBurst is the minimum burst in calls, so that a node that has just started can make its first calls at once.
	minimumBurst = 5
	// purposeShare is the fraction of the node's rate that one purpose may use, so that no
	// purpose can starve the others.
	purposeShare = 0.5
	// keyDepth is the number of leading segments of a key that form its purpose: "sloelift/config" for
	// "/sloelift/config/head".
	keyDepth = 2
	// purposeLeases is the purpose of calls that name no key.
	purposeLeases = "leases"
)

// callLimiter limits the rate of a node's calls, in total and by purpose, which is the slice
// that owns the key. It is safe for concurrent use.
type callLimiter struct {
	perSecond float64
	total     *rate.Limiter

	mutex sync.Mutex
	// byPurpose is guarded by mutex.
	byPurpose map[string]*rate.Limiter
}

// newCallLimiter limits calls to perSecond; 0 or less means no limit.
func newCallLimiter(perSecond float64) *callLimiter {
	return &callLimiter{
		perSecond: perSecond,
		total:     newLimiter(perSecond),
		byPurpose: make(map[string]*rate.Limiter),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minimumBurst, int(perSecond)))
}

// wait blocks until a call for purpose is allowed. If that would be after ctx's deadline, it
// returns KindRateLimited at once.
func (l *callLimiter) wait(ctx context.Context, purpose string) error {
	if err := l.limiterFor(purpose).Wait(ctx); err != nil {
		return KindRateLimited.Wrap(err, "wait for this node's own rate of %s", purpose)
	}
	if err := l.total.Wait(ctx); err != nil {
		return KindRateLimited.Wrap(err, "wait for this node's own rate")
	}
	return nil
}

func (l *callLimiter) limiterFor(purpose string) *rate.Limiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limiter, present := l.byPurpose[purpose]
	if !present {
		limiter = newLimiter(l.perSecond * purposeShare)
		l.byPurpose[purpose] = limiter
	}
	return limiter
}

// purposeOf returns the first keyDepth segments of a key.
func purposeOf(key string) string {
	parts := strings.SplitN(strings.TrimPrefix(key, "/"), "/", keyDepth+1)
	return strings.Join(parts[:min(keyDepth, len(parts))], "/")
}
