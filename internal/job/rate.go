package job

import "time"

const (
	// minRateAge is how long a rate must have been measured before it is used.
	minRateAge = 5 * time.Second
	// idleDivisor: a job is at risk if it has no result after 1/idleDivisor of the time from
	// the first sample to its deadline.
	idleDivisor = 10
	// rateWeight is the weight of the newest sample (one a second) in the moving average.
	rateWeight = 0.03
)

// rateMeter measures the rate of one job, in results per second. It is not safe for
// concurrent use.
type rateMeter struct {
	began     time.Time
	sampledAt time.Time
	count     int64
	perSecond float64
}

// sample updates the rate with the number of results so far. During the first minRateAge
// the rate is the mean, after that an exponential moving average.
func (m *rateMeter) sample(now time.Time, count int64) {
	if m.began.IsZero() {
		m.began, m.sampledAt, m.count = now, now, count
		return
	}
	seconds := now.Sub(m.sampledAt).Seconds()
	if seconds <= 0 {
		return
	}
	current := float64(count-m.count) / seconds
	m.sampledAt, m.count = now, count
	mean := float64(count) / now.Sub(m.began).Seconds()
	if now.Sub(m.began) < minRateAge {
		m.perSecond = mean
		return
	}
	m.perSecond += rateWeight * (current - m.perSecond)
}

// atRisk reports whether the remaining items would miss the deadline at the measured
// rate.
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
		return age > minRateAge && age > (age+left)/idleDivisor
	}
	return age >= minRateAge && float64(remaining)/m.perSecond > left.Seconds()
}
