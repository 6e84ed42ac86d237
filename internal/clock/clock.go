// Package clock provides a time that advances while the machine is suspended. Go's monotonic clock stops then: a node that measures a lease
// by it would hold the lease for longer than the other nodes, or the key-value service, consider it valid.
//
// Times of this package may be compared only with each other. They are not the time of day. Timers and the deadlines of connections and
// contexts use the monotonic clock and therefore need times of package time.
package clock

import (
	"sync/atomic"
	"time"
)

// driftTolerance is the drift between the time of day and the monotonic clock above which the kernel is asked whether the machine was
// suspended. Shorter suspensions are not detected.
const driftTolerance = 5 * time.Millisecond

// clock holds the state of the package's functions. It is safe for concurrent use.
type clock struct {
	// started is the time at which the clock was created.
	started time.Time
	// readOffset returns the time by which the clock that counts suspension is ahead of the one that does not.
	readOffset func() time.Duration
	// initialOffset is the offset at which the clock was created.
	initialOffset time.Duration
	// lastDrift is the time in ns by which the time of day was ahead of the monotonic clock when the offset was last read.
	lastDrift atomic.Int64
	// suspended is the total time in ns for which the machine was suspended since the clock was created. It never decreases.
	suspended atomic.Int64
}

func newClock(readOffset func() time.Duration) *clock {
	return &clock{started: time.Now(), readOffset: readOffset, initialOffset: readOffset()}
}

// processClock is the clock of this process.
var processClock = newClock(bootOffset)

// Now returns the current time, including the time for which the machine was suspended since the process started.
func Now() time.Time {
	now := time.Now()
	monotonic := now.Sub(processClock.started)
	wall := time.Duration(now.UnixNano() - processClock.started.UnixNano())
	return now.Add(processClock.suspendedAfter(monotonic, wall))
}

// Since returns the time elapsed since then, which must be a time of this package.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time remaining until then, which must be a time of this package.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns the time for which the machine was suspended since the process started, as detected by calls of Now.
func Suspended() time.Duration { return time.Duration(processClock.suspended.Load()) }

// suspendedAfter returns the total time for which the machine was suspended, given the times by which the monotonic clock and the time of
// day have advanced since the clock was created. Most calls only compare two numbers: the kernel is called only after a step between the
// two clocks, caused by a suspension or by an operator setting the time.
func (c *clock) suspendedAfter(monotonic, wall time.Duration) time.Duration {
	drift := int64(wall - monotonic)
	if step := time.Duration(drift - c.lastDrift.Load()); step > driftTolerance || step < -driftTolerance {
		c.updateSuspended()
		c.lastDrift.Store(drift)
	}
	return time.Duration(c.suspended.Load())
}

// updateSuspended raises suspended to the time that the kernel reports. Smaller readings, and increases of up to half of driftTolerance,
// are ignored.
func (c *clock) updateSuspended() {
	measured := int64(c.readOffset() - c.initialOffset)
	for previous := c.suspended.Load(); measured > previous+int64(driftTolerance/2); previous = c.suspended.Load() {
		if c.suspended.CompareAndSwap(previous, measured) {
			return
		}
	}
}

// SimulateSuspension adds duration to the suspended time until undo is called. It is for package clocktest.
func SimulateSuspension(duration time.Duration) (undo func()) {
	processClock.suspended.Add(int64(duration))
	return func() { processClock.suspended.Add(-int64(duration)) }
}
