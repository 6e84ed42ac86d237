package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// offsetReadings is the number of times that both clocks are read. A thread preempted between the two reads gets too small an offset, so
// the largest one is used.
const offsetReadings = 3

// bootOffset returns the time by which CLOCK_BOOTTIME, which counts suspension, is ahead of CLOCK_MONOTONIC, or slightly less.
func bootOffset() time.Duration {
	var largest time.Duration
	for range offsetReadings {
		var bootTime, monotonicTime unix.Timespec
		// Neither call fails on kernels that Go supports. If one does, the largest offset read so far is returned, or 0.
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonicTime) != nil {
			return largest
		}
		largest = max(largest, time.Duration(bootTime.Nano()-monotonicTime.Nano()))
	}
	return largest
}
