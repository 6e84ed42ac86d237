package clock

import (
	"testing"
	"time"
)

// fakeOffset is a fake offset between the kernel's clocks; reads counts the calls of get.
type fakeOffset struct {
	offset time.Duration
	reads  int
}

func (f *fakeOffset) get() time.Duration {
	f.reads++
	return f.offset
}

// TestSuspensionIsCounted: after a suspension, the time of day and the kernel's offset have advanced by its duration, the monotonic
// clock has not.
func TestSuspensionIsCounted(t *testing.T) {
	kernel := &fakeOffset{offset: time.Hour}
	c := newClock(kernel.get)
	kernel.offset += 3 * time.Second
	if got := c.suspendedAfter(time.Second, 4*time.Second); got != 3*time.Second {
		t.Errorf("suspended for %s, want 3s", got)
	}
	kernel.offset += 2 * time.Second
	if got := c.suspendedAfter(5*time.Second, 10*time.Second); got != 5*time.Second {
		t.Errorf("%s after the second suspension, want 5s", got)
	}
}

// TestStepOfTheTimeOfDayIsNoSuspension: an operator sets the time of day forward and back; the kernel's offset does not change.
func TestStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	kernel := &fakeOffset{offset: time.Hour}
	c := newClock(kernel.get)
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second} {
		if got := c.suspendedAfter(time.Second, time.Second+step); got != 0 {
			t.Errorf("suspended for %s after a step of %s, want 0", got, step)
		}
	}
}

// TestKernelIsAskedAfterAStepOnly: Now is called many times per request, so it must not call the kernel each time.
func TestKernelIsAskedAfterAStepOnly(t *testing.T) {
	kernel := &fakeOffset{}
	c := newClock(kernel.get)
	for range 1000 {
		now := time.Now()
		c.suspendedAfter(now.Sub(c.started), time.Duration(now.UnixNano()-c.started.UnixNano()))
	}
	if kernel.reads > 2 {
		t.Errorf("%d calls to the kernel, want at most 2", kernel.reads)
	}
}

// TestOffsetThatIsReadTooSmallTakesNothingBack: a thread may be preempted between reading the two clocks; the smaller offset must not
// reduce the suspended time.
func TestOffsetThatIsReadTooSmallTakesNothingBack(t *testing.T) {
	kernel := &fakeOffset{}
	c := newClock(kernel.get)
	kernel.offset = 3 * time.Second
	c.updateSuspended()
	kernel.offset = time.Second
	c.updateSuspended()
	if got := time.Duration(c.suspended.Load()); got != 3*time.Second {
		t.Errorf("suspended for %s after a smaller reading, want 3s", got)
	}
}

// TestKernelsClocksAreRead assumes that this machine was not suspended since the process started.
func TestKernelsClocksAreRead(t *testing.T) {
	if before, after := bootOffset(), bootOffset(); after-before > time.Second || before-after > time.Second {
		t.Errorf("the offset changed from %s to %s", before, after)
	}
	if difference := time.Until(Now()); difference > time.Second || difference < -time.Second {
		t.Errorf("now is %s ahead", difference)
	}
}
