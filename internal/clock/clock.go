// Package clock gives a time that goes on while the machine is suspended. Go's steady clock stands still then: a lease that was measured by it
// would be held by this node for longer than the others, or the key-value service, count it.
//
// Times of this package are compared with each other only. They are no time of day, and timers and deadlines of connections and contexts, which
// go by the steady clock, take a time of package time.
package clock

import (
	"sync/atomic"
	"time"
)

// tolerance is how far the time of day and the steady clock may drift apart before it is found out whether the machine was suspended. Shorter
// suspensions are not noticed.
const tolerance = 5 * time.Millisecond

// clock is the state behind the functions of the package. It is safe for concurrent use.
type clock struct {
	// started is when the clock was made.
	started time.Time
	// offset returns by how much the clock that counts suspension is ahead of the one that does not.
	offset func() time.Duration
	// base is the offset when the clock was made.
	base time.Duration
	// reference is by how much the time of day was ahead of the steady clock when the offset was last read, in ns.
	reference atomic.Int64
	// suspended is for how long the machine was suspended since the clock was made, in ns. It never falls.
	suspended atomic.Int64
}

func newClock(offset func() time.Duration) *clock {
	return &clock{started: time.Now(), offset: offset, base: offset()}
}

// process is the clock of this process.
var process = newClock(bootOffset)

// Now returns the present time.
func Now() time.Time {
	now := time.Now()
	steady := now.Sub(process.started)
	wall := time.Duration(now.UnixNano() - process.started.UnixNano())
	return now.Add(process.suspendedAfter(steady, wall))
}

// Since returns the time that has passed since then, which is a time of this package.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time until then, which is a time of this package.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process began, as far as Now has noticed.
func Suspended() time.Duration { return time.Duration(process.suspended.Load()) }

// suspendedAfter returns for how long the machine was suspended when the steady clock and the time of day have gone on by so much. Most calls
// compare two numbers: only a step between the two, by a suspension or by an operator, costs calls to the kernel.
func (c *clock) suspendedAfter(steady, wall time.Duration) time.Duration {
	ahead := int64(wall - steady)
	if step := time.Duration(ahead - c.reference.Load()); step > tolerance || step < -tolerance {
		c.measure()
		c.reference.Store(ahead)
	}
	return time.Duration(c.suspended.Load())
}

// measure takes in what the kernel counts.
func (c *clock) measure() {
	measured := int64(c.offset() - c.base)
	for known := c.suspended.Load(); measured > known+int64(tolerance/2); known = c.suspended.Load() {
		if c.suspended.CompareAndSwap(known, measured) {
			return
		}
	}
}

// Simulate has the clock be ahead by duration until undo is called. It is for package clocktest.
func Simulate(duration time.Duration) (undo func()) {
	process.suspended.Add(int64(duration))
	return func() { process.suspended.Add(-int64(duration)) }
}
