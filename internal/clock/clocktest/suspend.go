// Package clocktest simulates suspensions of the machine for package clock.
package clocktest

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// Suspend makes package clock report, until the test ends, that the machine was suspended for duration. Go's own clocks and timers are
// not affected.
func Suspend(t *testing.T, duration time.Duration) {
	t.Helper()
	t.Cleanup(clock.SimulateSuspension(duration))
}
