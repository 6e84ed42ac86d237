package replica

import (
	"math"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// reportHalfLife is the half-life of the weight of a load report.
	reportHalfLife = 700 * time.Millisecond
	// othersStaleAfter is the age from which the other nodes' use is stale and is ignored.
	othersStaleAfter = 400 * time.Millisecond
	// workTimeHalfLife is the half-life of a reported work time. It is short because the other load on the replica's machine changes
	// many times per second.
	workTimeHalfLife = 200 * time.Millisecond
	// usualWorkTime is Load.WorkTime when work takes its usual time.
	usualWorkTime = 100
	// maxComparableAge is the age up to which the other nodes' use is compared with a replica's report; requests last 50 ms or more.
	maxComparableAge = 120 * time.Millisecond
)

// Use is the use of a replica by one or more nodes.
type Use struct {
	// Requests is the number of requests in flight.
	Requests int
	// Reading is the number of prompt tokens of the requests that have not yet received their first event.
	Reading int
	// Avoiding is the number of nodes that avoid the replica because their calls to it fail.
	Avoiding int
}

// Plus returns u plus sign times other.
func (u Use) Plus(other Use, sign int) Use {
	return Use{
		Requests: u.Requests + sign*other.Requests,
		Reading:  u.Reading + sign*other.Reading,
		Avoiding: u.Avoiding + sign*other.Avoiding,
	}
}

// Minus returns u minus other, with no number below zero.
func (u Use) Minus(other Use) Use {
	left := u.Plus(other, -1)
	return Use{Requests: max(0, left.Requests), Reading: max(0, left.Reading), Avoiding: max(0, left.Avoiding)}
}

// Load is a replica's report of its own load: running requests, waiting requests, and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes at the moment, in hundredths of the usual time; 0 if not reported.
	WorkTime int
	// Born is when the reporting incarnation started, as in Info; 0 if not reported.
	Born int64
}

// Use returns this process's use of the replica.
func (h *Handle) Use() Use {
	use := Use{Requests: h.InUse(), Reading: int(h.readingTokens.Load())}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if clock.Now().Before(h.failingUntil) {
		use.Avoiding = 1
	}
	return use
}

// Reading returns the number of prompt tokens of all nodes' requests that have not yet received their first event. It counts only this
// process's requests if the other nodes' use is not known or stale.
func (h *Handle) Reading(now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reading := int(h.readingTokens.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStaleAfter {
		reading += h.othersUse.Reading
	}
	return reading
}

// NoteLoad records a load report of the replica.
func (h *Handle) NoteLoad(load Load, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reported, h.reportedAt, h.inUseAtReport = load, now, h.inUse.Load()
	if load.WorkTime > 0 {
		h.workTime, h.workTimeAt = load.WorkTime, now
	}
	if now.Sub(h.othersAt) <= maxComparableAge {
		h.unattributed, h.unattributedAt = max(0,
			float64(load.Running+load.Waiting-h.othersUse.Requests)-float64(h.inUseAtReport)), now
	}
}

// SetOthers records the other nodes' use of the replica.
func (h *Handle) SetOthers(others Use, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.othersUse, h.othersAt = others, now
}

// Occupancy estimates the number of running and waiting requests of all callers at the replica. While the other nodes' use is not stale,
// it is the sum of their requests, this process's requests and the unattributed requests of the last report, decayed by age. Otherwise
// it is the last reported number, decayed by age, plus the net change of this process's requests since.
func (h *Handle) Occupancy(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	inUse := float64(h.inUse.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStaleAfter {
		return inUse + float64(h.othersUse.Requests) + h.unattributed*reportWeight(h.unattributedAt, now)
	}
	return max(inUse,
		float64(h.reported.Running+h.reported.Waiting)*reportWeight(h.reportedAt, now)+inUse-float64(h.inUseAtReport))
}

// Slowdown estimates how much longer than usual work takes at the replica, as a fraction of the usual time (1 means twice as long); 0 if
// it takes no longer or no work time was reported.
func (h *Handle) Slowdown(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.workTime <= usualWorkTime {
		return 0
	}
	return float64(h.workTime-usualWorkTime) / usualWorkTime * decay(h.workTimeAt, now, workTimeHalfLife)
}

// reportWeight returns the weight of a load report received at reportedAt; 0 if there was none.
func reportWeight(reportedAt, now time.Time) float64 { return decay(reportedAt, now, reportHalfLife) }

// decay returns the weight, from 1 downwards, of a value received at reportedAt, which halves every halfLife; 0 if there was none.
func decay(reportedAt, now time.Time, halfLife time.Duration) float64 {
	if reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(reportedAt).Seconds() / halfLife.Seconds())
}
