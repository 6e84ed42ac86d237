package replica

import (
	"math"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// reportHalfLife is the age at which a load that a replica reported counts half.
	reportHalfLife = 700 * time.Millisecond
	// othersStale is the age at which the other nodes' numbers no longer count.
	othersStale = 400 * time.Millisecond
	// workTimeHalfLife is the age at which a reported time of work counts half: what else runs on the replica's machine changes many times
	// a second.
	workTimeHalfLife = 200 * time.Millisecond
	// usualWorkTime is Load.WorkTime where work takes as long as usual.
	usualWorkTime = 100
	// comparable is the age up to which they can be compared with what a replica reports: requests last 50 ms and more.
	comparable = 120 * time.Millisecond
)

// Use is what nodes have at a replica.
type Use struct {
	Requests int
	// Reading are the prompt tokens of those of the requests that wait for their first event.
	Reading int
	// Avoiding is the number of nodes that avoid the replica since their calls to it fail.
	Avoiding int
}

// Plus adds other, sign times.
func (u Use) Plus(other Use, sign int) Use {
	return Use{Requests: u.Requests + sign*other.Requests, Reading: u.Reading + sign*other.Reading, Avoiding: u.Avoiding + sign*other.Avoiding}
}

// Minus returns what is left without other; neither number falls below zero.
func (u Use) Minus(other Use) Use {
	left := u.Plus(other, -1)
	return Use{Requests: max(0, left.Requests), Reading: max(0, left.Reading), Avoiding: max(0, left.Avoiding)}
}

// Load is what a replica reports of itself: requests that run, requests that wait, and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes there at the moment, in hundredths of the usual time; 0 where the report does not say.
	WorkTime int
	// Born is when the replica that reports started, as in Info; 0 where the report does not say.
	Born int64
}

// Use returns what this process has there.
func (h *Handle) Use() Use {
	use := Use{Requests: h.InUse(), Reading: int(h.reading.Load())}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if clock.Now().Before(h.failingUntil) {
		use.Avoiding = 1
	}
	return use
}

// Reading returns the prompt tokens of all nodes' requests that wait for their first event, of this process's alone where the others'
// are not known.
func (h *Handle) Reading(now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reading := int(h.reading.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale {
		reading += h.others.Reading
	}
	return reading
}

// NoteLoad takes in a load that the replica reported.
func (h *Handle) NoteLoad(load Load, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reported, h.reportedAt, h.inUseAtReport = load, now, h.inUse.Load()
	if load.WorkTime > 0 {
		h.workTime, h.workTimeAt = load.WorkTime, now
	}
	if now.Sub(h.othersAt) <= comparable {
		h.unknown, h.unknownAt = max(0, float64(load.Running+load.Waiting-h.others.Requests)-float64(h.inUseAtReport)), now
	}
}

// SetOthers takes in what the other nodes have there.
func (h *Handle) SetOthers(others Use, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.others, h.othersAt = others, now
}

// Occupancy estimates the requests at the replica, running and waiting, of all callers. While the other nodes' numbers are
// known it is these and this process's own, and what only the replica reported, fading with age; else it is what the replica reported
// last, fading with age, and what this process began and ended since.
func (h *Handle) Occupancy(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	inUse := float64(h.inUse.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale {
		return inUse + float64(h.others.Requests) + h.unknown*fade(h.unknownAt, now)
	}
	return max(inUse, float64(h.reported.Running+h.reported.Waiting)*fade(h.reportedAt, now)+inUse-float64(h.inUseAtReport))
}

// Slowdown estimates how much longer than usual work takes at the replica at the moment, as a part of the usual time; 0 where it takes no
// longer, or that is not known.
func (h *Handle) Slowdown(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.workTime <= usualWorkTime {
		return 0
	}
	return float64(h.workTime-usualWorkTime) / usualWorkTime * halved(h.workTimeAt, now, workTimeHalfLife)
}

// fade returns the weight of what a replica reported at reportedAt; 0 where it never did.
func fade(reportedAt, now time.Time) float64 { return halved(reportedAt, now, reportHalfLife) }

// halved returns the weight of what a replica reported at reportedAt, which halves in each halfLife; 0 where it never did.
func halved(reportedAt, now time.Time, halfLife time.Duration) float64 {
	if reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(reportedAt).Seconds() / halfLife.Seconds())
}
