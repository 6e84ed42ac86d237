package session

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// pause is the jittered, growing wait between attempts.
type pause struct{ backoff backoff.ExponentialBackOff }

func newPause() *pause {
	p := &pause{backoff: backoff.ExponentialBackOff{
		InitialInterval:     firstBackoff,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxBackoff,
	}}
	p.backoff.Reset()
	return p
}

// reset begins again with the shortest wait; called after progress.
func (p *pause) reset() { p.backoff.Reset() }

// wait returns false where ctx ended first.
func (p *pause) wait(ctx context.Context) bool {
	timer := time.NewTimer(p.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
