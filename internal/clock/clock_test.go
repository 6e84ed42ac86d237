package clock

import (
	"testing"
	"time"
)

// fakeOffset is an offset between the kernel's clocks; read counts how often it was asked for.
type fakeOffset struct {
	offset time.Duration
	read   int
}

func (f *fakeOffset) get() time.Duration {
	f.read++
	return f.offset
}

// TestSuspensionIsCounted: the time of day and the kernel's clock are ahead of the steady one by it.
func TestSuspensionIsCounted(t *testing.T) {
	kernel := &fakeOffset{offset: time.Hour}
	c := newClock(kernel.get)
	kernel.offset += 3 * time.Second
	if got := c.suspendedAfter(time.Second, 4*time.Second); got != 3*time.Second {
		t.Errorf("%s, want 3s", got)
	}
	kernel.offset += 2 * time.Second
	if got := c.suspendedAfter(5*time.Second, 10*time.Second); got != 5*time.Second {
		t.Errorf("%s, want 5s after the second time", got)
	}
}

// TestStepOfTheTimeOfDayIsNoSuspension: an operator sets it forth and back, the kernel's clock does not move.
func TestStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	kernel := &fakeOffset{offset: time.Hour}
	c := newClock(kernel.get)
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second} {
		if got := c.suspendedAfter(time.Second, time.Second+step); got != 0 {
			t.Errorf("%s after a step of %s", got, step)
		}
	}
}

// TestKernelIsAskedAfterAStepOnly: the time is asked for many times in a request.
func TestKernelIsAskedAfterAStepOnly(t *testing.T) {
	kernel := &fakeOffset{}
	c := newClock(kernel.get)
	for range 1000 {
		now := time.Now()
		c.suspendedAfter(now.Sub(c.started), time.Duration(now.UnixNano()-c.started.UnixNano()))
	}
	if kernel.read > 2 {
		t.Errorf("the kernel was asked %d times", kernel.read)
	}
}

// TestOffsetThatIsReadTooSmallTakesNothingBack: a thread may lose the processor between two readings.
func TestOffsetThatIsReadTooSmallTakesNothingBack(t *testing.T) {
	kernel := &fakeOffset{}
	c := newClock(kernel.get)
	kernel.offset = 3 * time.Second
	c.measure()
	kernel.offset = time.Second
	c.measure()
	if got := time.Duration(c.suspended.Load()); got != 3*time.Second {
		t.Errorf("%s, want 3s", got)
	}
}

// TestKernelsClocksAreRead: this machine was not suspended since the process began.
func TestKernelsClocksAreRead(t *testing.T) {
	if before, after := bootOffset(), bootOffset(); after-before > time.Second || before-after > time.Second {
		t.Errorf("%s and %s", before, after)
	}
	if apart := time.Until(Now()); apart > time.Second || apart < -time.Second {
		t.Errorf("now is %s ahead", apart)
	}
}
