package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the wait between tries against the platform.
const (
	backoffInitial    = 100 * time.Millisecond
	backoffMaximum    = 10 * time.Second
	backoffMultiplier = 2
	// backoffJitter spreads each wait over [1-j, 1+j] times its value, so that nodes
	// that failed together do not come back together.
	backoffJitter = 0.5
)

// Backoff gives the jittered, growing waits between tries. It belongs to one goroutine.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// NewBackoff returns a Backoff that starts at its shortest wait.
func NewBackoff() *Backoff {
	return &Backoff{exponential: &backoff.ExponentialBackOff{
		InitialInterval:     backoffInitial,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffMultiplier,
		MaxInterval:         backoffMaximum,
	}}
}

// NewBackoffUpTo returns a Backoff whose waits stay below about longest.
func NewBackoffUpTo(longest time.Duration) *Backoff {
	limited := NewBackoff()
	limited.exponential.MaxInterval = longest
	return limited
}

// Next returns the next wait.
func (b *Backoff) Next() time.Duration { return b.exponential.NextBackOff() }

// Reset starts again at the shortest wait; call it after a success.
func (b *Backoff) Reset() { b.exponential.Reset() }

// Wait sleeps for the next wait; it returns ctx's error where ctx ends first.
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
