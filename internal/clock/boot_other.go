//go:build !linux

package clock

import "time"

// bootOffset returns 0: the steady clock is taken to go on.
func bootOffset() time.Duration { return 0 }
