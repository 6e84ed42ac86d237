package platform

import (
	"context"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// minimumBurst lets a node that just started make its first few calls at once.
	minimumBurst = 5
	// purposeShare is the part of the node's rate that one purpose may use, so that none can
	// keep all others from the service.
	purposeShare = 0.5
	// keyDepth is how many leading parts of a key name its purpose: "/sloelift/config".
	keyDepth = 2
	// purposeLeases is the purpose of calls that name no key.
	purposeLeases = "leases"
)

// callLimiter bounds a node's calls in all and by purpose, which is the slice that owns the
// key. It is safe for concurrent use.
type callLimiter struct {
	perSecond float64
	total     *rate.Limiter

	mutex sync.Mutex
	// byPurpose is guarded by mutex.
	byPurpose map[string]*rate.Limiter
}

// newCallLimiter bounds calls to perSecond; 0 or less is no bound.
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

// wait blocks until a call for purpose is allowed. Where that is not before ctx's deadline
// it returns KindRateLimited at once; nothing was sent.
func (l *callLimiter) wait(ctx context.Context, purpose string) error {
	if err := l.of(purpose).Wait(ctx); err != nil {
		return KindRateLimited.Wrap(err, "wait for this node's own rate of %s", purpose)
	}
	if err := l.total.Wait(ctx); err != nil {
		return KindRateLimited.Wrap(err, "wait for this node's own rate")
	}
	return nil
}

func (l *callLimiter) of(purpose string) *rate.Limiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limiter, present := l.byPurpose[purpose]
	if !present {
		limiter = newLimiter(l.perSecond * purposeShare)
		l.byPurpose[purpose] = limiter
	}
	return limiter
}

// purposeOf returns the leading parts of a key.
func purposeOf(key string) string {
	parts := strings.SplitN(strings.TrimPrefix(key, "/"), "/", keyDepth+1)
	return strings.Join(parts[:min(keyDepth, len(parts))], "/")
}
