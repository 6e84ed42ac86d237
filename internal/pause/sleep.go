// Package pause waits for time to pass or a context to end, whichever is first.
package pause

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// Sleep waits for duration; false if ctx ended meanwhile. It does not wait where
// duration is not positive.
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

// Every calls do once in each interval until ctx ends. Intervals that pass while do runs are left out.
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
