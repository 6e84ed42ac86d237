package quota

import (
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

const (
	// initialSlackFraction is the fraction of the slack that a new bucket starts with, and noGrantorSlackFraction the fraction that all
	// edges together may spend per window without a grantor. Together they leave room for four grantors that fail within one window
	// without handing over; with 0.25 and 0.5 TestLimitHoldsWhateverFails found 700 requests where 680 are allowed.
	initialSlackFraction   = 0.125
	noGrantorSlackFraction = 0.4
	// noGrantorSlackFractionLeased replaces noGrantorSlackFraction for a limit that is leased in parts: the rest of the slack is reserved
	// for startupShare and for edges whose membership views differ.
	noGrantorSlackFractionLeased = 0.2
	// leaseBelowSlackFraction is the slack, as a fraction of a window's limit, below which the limit is leased in parts. Grantors chosen by
	// rank alone exceeded the limit by 0.26 of it in the worst of 42 series of partitions (TestLimitHoldsOverSeriesOfCuts). With a slack
	// of 20 requests, tenants with more than 11 requests per second are below it.
	leaseBelowSlackFraction = 0.4
	// standInSlackFraction is the fraction of the slack that an edge may grant while it stands in for a higher-ranked edge that is not known
	// to be dead: that edge may be on the other side of a partition and grant the whole limit. It is spread over detectionTime.
	standInSlackFraction = 0.45
	// detectionTime is the time within which all edges learn of an edge's death: 3.3 s of silence, and the time to disseminate it.
	detectionTime = 4 * time.Second
)

// Allowance is the amount by which a tenant's requests may exceed its limit in any span of length Window: the fraction Tolerance of the
// window's limit, plus Slack requests.
type Allowance struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64
}

// slack returns the number of requests by which limit may be exceeded in one window.
func (a Allowance) slack(limit tenant.Limit) float64 {
	return a.Tolerance*(limit.RequestsPerSecond*a.Window.Seconds()+limit.Burst) + a.Slack
}

// initialLevel returns the level, in requests, that a new bucket starts with when nothing was handed over.
func (a Allowance) initialLevel(limit tenant.Limit) float64 {
	return min(limit.Burst, initialSlackFraction*a.slack(limit))
}

// standInShare returns the share of the limit that an edge grants while it stands in for a higher-ranked edge that is not known to be dead.
func (a Allowance) standInShare(limit tenant.Limit) float64 {
	return min(1, standInSlackFraction*a.slack(limit)/(limit.RequestsPerSecond*detectionTime.Seconds()))
}

// usesLeases reports whether grantors lease the limit in parts from the edges. They do if the slack is too small to cover grantors whose
// only agreement is their view of the membership.
func (a Allowance) usesLeases(limit tenant.Limit) bool {
	return a.slack(limit) < leaseBelowSlackFraction*(limit.RequestsPerSecond*a.Window.Seconds()+limit.Burst)
}

// rateWithoutGrantor returns the requests per second that each of the given number of edges may send while it reaches no grantor.
func (a Allowance) rateWithoutGrantor(limit tenant.Limit, edges int) float64 {
	fraction := noGrantorSlackFraction
	if a.usesLeases(limit) {
		fraction = noGrantorSlackFractionLeased
	}
	return fraction * a.slack(limit) / a.Window.Seconds() / float64(max(1, edges))
}
