// Package pause provides waits that end early if a context ends.
package pause

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// Sleep waits for duration and reports false if ctx ended first. It does not wait if
// duration is not positive, and then reports whether ctx is still active.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do once per interval until ctx ends. Ticks are dropped while do runs.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := clock.Now()
			do(now)
		case <-ctx.Done():
			return
		}
	}
}
