package quota

import (
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

const (
	// initialPart is the part of the slack that a new bucket begins with, and unansweredPart what all edges together may spend in a window
	// without a grantor. Together they bear four grantors that fail within one window without handing over; with 0.25 and 0.5
	// TestLimitHoldsWhateverFails found 700 requests where 680 are allowed.
	initialPart    = 0.125
	unansweredPart = 0.4
	// unansweredLent is the same for a limit that is lent in parts: the rest of the slack is for startShare and for views that differ.
	unansweredLent = 0.2
	// lentBelow is the slack, as a part of a window's limit, below which the limit is lent in parts. Grantors by rank alone exceeded the
	// limit by 0.26 of it in the worst of 42 series of cuts (TestLimitHoldsOverSeriesOfCuts). With a slack of 20 requests these are
	// the tenants of more than 11 requests a second.
	lentBelow = 0.4
	// standInPart is the part of the slack that an edge may grant which stands in for one that is not known to be dead: that one may be on
	// the other side of a cut and grant the whole limit. It is spread over detectionTime, in which a death becomes known everywhere:
	// 3.3 s of silence, and the time to spread.
	standInPart   = 0.45
	detectionTime = 4 * time.Second
)

// Allowance says by how much the requests of a tenant may exceed its limit in any span of Window: by Tolerance as a part of the limit, and
// by Slack requests.
type Allowance struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64
}

// slack returns the requests by which limit may be exceeded in one window.
func (a Allowance) slack(limit tenant.Limit) float64 {
	return a.Tolerance*(limit.RequestsPerSecond*a.Window.Seconds()+limit.Burst) + a.Slack
}

// initial returns the level of a new bucket.
func (a Allowance) initial(limit tenant.Limit) float64 {
	return min(limit.Burst, initialPart*a.slack(limit))
}

// standInShare returns the part of the limit that an edge grants while it stands in for one that is not known to be dead.
func (a Allowance) standInShare(limit tenant.Limit) float64 {
	return min(1, standInPart*a.slack(limit)/(limit.RequestsPerSecond*detectionTime.Seconds()))
}

// lent says that grantors borrow the limit from the edges in parts: where the slack is too small for grantors that agree only by what they
// know of the members.
func (a Allowance) lent(limit tenant.Limit) bool {
	return a.slack(limit) < lentBelow*(limit.RequestsPerSecond*a.Window.Seconds()+limit.Burst)
}

// unansweredRate returns the requests per second that one of so many edges may send without a grantor.
func (a Allowance) unansweredRate(limit tenant.Limit, edges int) float64 {
	part := unansweredPart
	if a.lent(limit) {
		part = unansweredLent
	}
	return part * a.slack(limit) / a.Window.Seconds() / float64(max(1, edges))
}
