package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

// leaseDuration is how long a part is leased. When a grantor dies, its parts are unused until their leases expire. An edge that has restarted
// does not know its leases from before, and lends at most startupShare of its parts for this time. Grantors renew after half of it: two calls
// per second for each tenant whose limit is leased and each edge.
const leaseDuration = time.Second

// startupShare is the share of its part that an edge lends within leaseDuration of its start, since the part may still be leased in full to a
// live grantor. It lets half the limit through at once after all edges were killed. The cost is an excess of half the rate for one second
// of those edges that restarted and were at once partitioned from their grantor; the slack covers half the rate of all edges for a second
// or more.
const startupShare = 0.5

// lender leases out this edge's part of each tenant's limit: of the rate and of the burst, divided equally among all known edges.
//
// Invariant: a part is leased to one holder at a time, and to the next only once the previous lease has expired or its holder's term has
// ended. So all grantors together grant at most the limit in any window, whichever edges reach each other and whatever their views of the
// membership. Two things can exceed it: edges that disagree on the number of edges, in proportion to the disagreement, and startupShare.
type lender struct {
	// mutex guards parts.
	mutex   sync.Mutex
	started time.Time
	parts   map[string]*partLease
}

// partLease is the last lease of this edge's part of one tenant's limit. A lease hands out the part's whole level, so the level that has
// accrued while the part is free follows from expiresAt.
type partLease struct {
	holder    string
	expiresAt time.Time
}

func newLender(now time.Time) *lender { return &lender{started: now, parts: map[string]*partLease{}} }

// lease is the result of a call for a part; it is refused if share is 0.
type lease struct {
	// share is the leased share of the part, from 0 to 1.
	share float64
	// level is the number of requests that have accrued to the part.
	level float64
	// availableIn is how long the part is still leased to another holder.
	availableIn time.Duration
}

// lend leases this edge's part of the tenant's limit to holder; parts is the number of parts that the limit is divided into. The leases of
// endedHolders count as expired.
func (l *lender) lend(tenantName, holder string, endedHolders []string, limit tenant.Limit, parts int, now time.Time) lease {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := l.parts[tenantName]
	if current == nil {
		current = &partLease{}
		l.parts[tenantName] = current
	}
	if now.Before(current.expiresAt) && current.holder != holder && !slices.Contains(endedHolders, current.holder) {
		return lease{availableIn: current.expiresAt.Sub(now)}
	}
	startupEnd := l.started.Add(leaseDuration)
	granted := lease{share: 1, level: accruedLevel(equalPart(limit, parts), laterOf(current.expiresAt, startupEnd), now)}
	if now.Before(startupEnd) {
		granted.share = startupShare
	}
	current.holder, current.expiresAt = holder, now.Add(leaseDuration)
	return granted
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// accruedLevel returns the level at now of a part that was empty at since: at most its burst, which may be less than one request.
func accruedLevel(part tenant.Limit, since, now time.Time) float64 {
	return min(part.Burst, max(0, now.Sub(since).Seconds())*part.RequestsPerSecond)
}

// equalPart returns one of the given number of equal parts of limit.
func equalPart(limit tenant.Limit, parts int) tenant.Limit {
	count := float64(max(1, parts))
	return tenant.Limit{RequestsPerSecond: limit.RequestsPerSecond / count, Burst: limit.Burst / count}
}
