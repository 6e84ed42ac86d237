//go:build !linux

package clock

import "time"

// bootOffset returns 0: the monotonic clock is assumed to count suspension.
func bootOffset() time.Duration { return 0 }
