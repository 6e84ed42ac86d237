package forward

import (
	"golang.org/x/time/rate"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// repeatsPerSecond and repeatBurst bound the requests that one process sends again after they may have run, so
	// that failing replicas do not draw more load upon the others.
	repeatsPerSecond = 20
	repeatBurst      = 40
)

type retryBudget struct{ limiter *rate.Limiter }

func newRetryBudget() *retryBudget {
	return &retryBudget{limiter: rate.NewLimiter(repeatsPerSecond, repeatBurst)}
}

func (b *retryBudget) take() bool { return b.limiter.AllowN(clock.Now(), 1) }
