package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Parameters of the backoff between retries of calls to the platform.
const (
	backoffInitial    = 100 * time.Millisecond
	backoffMaximum    = 10 * time.Second
	backoffMultiplier = 2
	// backoffJitter randomizes each delay by a factor in [1-backoffJitter, 1+backoffJitter],
	// so that nodes that failed together do not retry together.
	backoffJitter = 0.5
)

// Backoff computes jittered exponential delays between retries. It is not safe for concurrent use.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// NewBackoff returns a Backoff that starts at its shortest delay.
func NewBackoff() *Backoff {
	return &Backoff{exponential: &backoff.ExponentialBackOff{
		InitialInterval:     backoffInitial,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffMultiplier,
		MaxInterval:         backoffMaximum,
	}}
}

// NewBackoffUpTo returns a Backoff whose delays are at most maximum before jitter.
func NewBackoffUpTo(maximum time.Duration) *Backoff {
	limited := NewBackoff()
	limited.exponential.MaxInterval = maximum
	return limited
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration { return b.exponential.NextBackOff() }

// Reset restarts at the shortest delay; call it after a success.
func (b *Backoff) Reset() { b.exponential.Reset() }

// Wait sleeps for the next delay; it returns ctx's error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
