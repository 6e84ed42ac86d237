// Package clocktest suspends the machine, as far as package clock can tell.
package clocktest

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// Suspend has package clock find, until the test ends, that the machine was suspended for duration. Go's own clocks and timers do not move.
func Suspend(t *testing.T, duration time.Duration) {
	t.Helper()
	t.Cleanup(clock.Simulate(duration))
}
