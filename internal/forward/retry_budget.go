package forward

import (
	"golang.org/x/time/rate"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// retriesPerSecond and retryBurst bound the requests that one process sends again after they may have run, so that failing replicas
	// do not cause more load on the others.
	retriesPerSecond = 20
	retryBurst       = 40
)

// retryBudget is a token bucket for retries of requests that may have run.
type retryBudget struct{ limiter *rate.Limiter }

func newRetryBudget() *retryBudget {
	return &retryBudget{limiter: rate.NewLimiter(retriesPerSecond, retryBurst)}
}

// take reports whether a retry is allowed, and charges the budget for it.
func (b *retryBudget) take() bool { return b.limiter.AllowN(clock.Now(), 1) }
