package platform

import (
	"context"

	"golang.org/x/time/rate"
)

// minimumBurst lets a node that just started make its first few calls at once.
const minimumBurst = 5

// newLimiter bounds calls to perSecond; 0 or less is no bound.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minimumBurst, int(perSecond)))
}

// waitTurn blocks until the limiter allows a call. Where that is not before ctx's
// deadline it returns KindRateLimited at once; nothing was sent.
func waitTurn(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		return KindRateLimited.Wrap(err, "wait for this node's own rate limit")
	}
	return nil
}
