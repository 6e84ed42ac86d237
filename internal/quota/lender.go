package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

// lendingTime is how long a part is lent. When a grantor dies its parts lie idle for so long, and so do the parts of an edge that was
// started, which does not know to whom it lent before. Grantors renew after half of it: two calls a second, large tenant and edge.
const lendingTime = time.Second

// startShare is the share of its part that an edge lends within lendingTime of its start, as the whole part may be lent to a grantor that
// lives on. After all edges were killed it lets half the limit through at once. The price: half the rate for a second of the edges that
// were started and cut off from their grantor at once; the slack is that of half the rate of all edges for a second, or more.
const startShare = 0.5

// lender lends this edge's part of each tenant's limit: one part in all known edges, of the rate and of the burst.
//
// Invariant: a part is lent to one borrowing at a time, and to the next only once the time of the one before is over or that was
// ceded. So what all grantors grant together in any window is at most the limit, whoever reaches whom and whatever each knows of the
// others. Two things can make it more: edges that disagree on the number of edges, by as much as they do, and startShare.
type lender struct {
	// mutex guards parts.
	mutex   sync.Mutex
	started time.Time
	parts   map[string]*part
}

// part is the part of one tenant. What it collects while nobody has borrowed it follows from until: nothing is left of it when it is lent.
type part struct {
	// borrowing is the one that the part was last lent to, until is the end of its time.
	borrowing string
	until     time.Time
}

func newLender(now time.Time) *lender { return &lender{started: now, parts: map[string]*part{}} }

// lending is what a borrower gets; a share of 0 is nothing.
type lending struct {
	// share is the share of the part, level the requests that come with it.
	share float64
	level float64
	// freeIn is how long the part is still lent to another.
	freeIn time.Duration
}

// lend lends the tenant's part, of which there are so many in all, to a borrowing; ceded are borrowings that have ended.
func (l *lender) lend(tenantName, borrowing string, ceded []string, limit tenant.Limit, parts int, now time.Time) lending {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.parts[tenantName]
	if held == nil {
		held = &part{}
		l.parts[tenantName] = held
	}
	if now.Before(held.until) && held.borrowing != borrowing && !slices.Contains(ceded, held.borrowing) {
		return lending{freeIn: held.until.Sub(now)}
	}
	full := l.started.Add(lendingTime)
	given := lending{share: 1, level: collected(partOf(limit, parts), later(held.until, full), now)}
	if now.Before(full) {
		given.share = startShare
	}
	held.borrowing, held.until = borrowing, now.Add(lendingTime)
	return given
}

// later returns the later of two times.
func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// collected returns what a part that was empty at since holds at now: at most its burst, which may be less than one request.
func collected(own tenant.Limit, since, now time.Time) float64 {
	return min(own.Burst, max(0, now.Sub(since).Seconds())*own.RequestsPerSecond)
}

// partOf is one of so many equal parts of limit.
func partOf(limit tenant.Limit, parts int) tenant.Limit {
	count := float64(max(1, parts))
	return tenant.Limit{RequestsPerSecond: limit.RequestsPerSecond / count, Burst: limit.Burst / count}
}
