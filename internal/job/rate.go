package job

import "time"

const (
	// rateMinimumAge is how long a rate must have been measured before it is believed.
	rateMinimumAge = 5 * time.Second
	// idleShare is the share of its time that a job may pass without any result.
	idleShare = 10
	// rateWeight is the weight of the newest second in the moving average.
	rateWeight = 0.03
)

// rateMeter measures the results of one job per second. It is used by one goroutine.
type rateMeter struct {
	began     time.Time
	sampledAt time.Time
	count     int64
	perSecond float64
}

// sample takes the count of results so far.
func (m *rateMeter) sample(now time.Time, count int64) {
	if m.began.IsZero() {
		m.began, m.sampledAt, m.count = now, now, count
		return
	}
	seconds := now.Sub(m.sampledAt).Seconds()
	if seconds <= 0 {
		return
	}
	present := float64(count-m.count) / seconds
	m.sampledAt, m.count = now, count
	mean := float64(count) / now.Sub(m.began).Seconds()
	if now.Sub(m.began) < rateMinimumAge {
		m.perSecond = mean
		return
	}
	m.perSecond += rateWeight * (present - m.perSecond)
}

// atRisk tells whether remaining items will not be done by the deadline at the
// measured rate.
func (m *rateMeter) atRisk(now, deadline time.Time, remaining int) bool {
	if deadline.IsZero() || remaining == 0 {
		return false
	}
	left := deadline.Sub(now)
	if left <= 0 {
		return true
	}
	age := now.Sub(m.began)
	if m.perSecond <= 0 {
		return age > rateMinimumAge && age > (age+left)/idleShare
	}
	return age >= rateMinimumAge && float64(remaining)/m.perSecond > left.Seconds()
}
