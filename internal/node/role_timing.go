package node

import (
	"time"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
)

// roleLedgerTiming replaces the ledger's lost members sooner than the default for large machines does, since a small disk holds little
// data.
var roleLedgerTiming = func() ledger.Timing {
	timing := ledger.DefaultTiming()
	timing.Replace = 2 * time.Second
	timing.Formation = time.Second
	timing.MaxBackoff = time.Second
	timing.Request = time.Second
	timing.OwnerSilence = 800 * time.Millisecond
	timing.ChangeRetry = 120 * time.Millisecond
	timing.Check = 100 * time.Millisecond
	timing.Tick = 250 * time.Millisecond
	timing.SuspectRelease = 300 * time.Millisecond
	timing.MinTenure = time.Minute
	timing.MemberWait = 600 * time.Millisecond
	return timing
}()

// roleMembershipTiming reads the list of registered nodes less often than the default: each read is a metered call, and nodes that have
// joined learn of others from each other.
var roleMembershipTiming = func() membership.Timing {
	timing := membership.DefaultTiming()
	timing.ListPeriod = 45 * time.Second
	// Nodes on a platform have a fifth of a core, so they probe half as often. A dead node is detected in its zone after 2.8 s instead of
	// 2.6 s.
	timing.ZoneProbePeriod = 500 * time.Millisecond
	timing.RemoteProbePeriod = time.Second
	timing.DigestPeriod = 2 * time.Second
	// Joins are retried quickly: a storage node that restarted without its disk gets its data back only once the others know of it.
	timing.JoinPeriod = 50 * time.Millisecond
	timing.MaxJoinPeriod = 300 * time.Millisecond
	return timing
}()

// edgeSeedJoinTimeout is how long an edge tries to join through its seeds before it reads the list of registered nodes. If a thousand edges
// started at once and read the list, each would read a thousand entries.
const edgeSeedJoinTimeout = time.Second

// membershipTimingOf returns the membership timing for the role in nodeSettings.
func membershipTimingOf(nodeSettings settings.Settings) *membership.Timing {
	timing := roleMembershipTiming
	if nodeSettings.Role != settings.RoleStorage {
		timing.JoinFirst = edgeSeedJoinTimeout
	}
	return &timing
}
