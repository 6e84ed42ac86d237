// Package pause waits for time to pass or a context to end, whichever is first.
package pause

import (
	"context"
	"time"
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
