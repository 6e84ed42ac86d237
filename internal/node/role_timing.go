package node

import (
	"time"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
)

// roleLedgerTiming replaces the ledger's lost members sooner than on large machines: little is kept on a small disk.
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

// roleMembershipTiming reads the list of registered nodes more rarely: each reading is a priced call, and nodes that have
// joined learn of others from each other.
var roleMembershipTiming = func() membership.Timing {
	timing := membership.DefaultTiming()
	timing.ListPeriod = 45 * time.Second
	// A node of a platform has a fifth of a core: it probes half as often. A dead node is known in its zone after 2.8 s instead of 2.6 s.
	timing.ZoneProbePeriod = 500 * time.Millisecond
	timing.RemoteProbePeriod = time.Second
	timing.DigestPeriod = 2 * time.Second
	// A storage node that came back without its disk is filled only once the others know of it.
	timing.JoinPeriod = 50 * time.Millisecond
	timing.MaxJoinPeriod = 300 * time.Millisecond
	return timing
}()

// edgeJoinFirst is how long an edge waits to join through its seeds before it reads the list of registered nodes: a thousand edges that start at
// once would each read as many entries.
const edgeJoinFirst = time.Second

// membershipTimingOf returns the timing of a node of own's role.
func membershipTimingOf(own settings.Settings) *membership.Timing {
	timing := roleMembershipTiming
	if own.Role != settings.RoleStorage {
		timing.JoinFirst = edgeJoinFirst
	}
	return &timing
}
