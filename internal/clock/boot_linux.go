package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readings is how often the two clocks are read: a thread that loses the processor between them reads too small an offset.
const readings = 3

// bootOffset returns by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, or a little less.
func bootOffset() time.Duration {
	var largest time.Duration
	for range readings {
		var boot, steady unix.Timespec
		// Neither fails on kernels that Go supports; a zero reading is then the smallest offset.
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
			return largest
		}
		largest = max(largest, time.Duration(boot.Nano()-steady.Nano()))
	}
	return largest
}
