package session

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// retryBackoff is the jittered exponential backoff between attempts.
type retryBackoff struct{ backoff backoff.ExponentialBackOff }

func newRetryBackoff() *retryBackoff {
	b := &retryBackoff{backoff: backoff.ExponentialBackOff{
		InitialInterval:     initialBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxBackoff,
	}}
	b.backoff.Reset()
	return b
}

// reset starts again with the shortest delay. It is called after progress.
func (b *retryBackoff) reset() { b.backoff.Reset() }

// wait waits for the next delay; it returns false if ctx ended first.
func (b *retryBackoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
