package batch

import (
	"errors"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// A replica ends a run at its deadline. Items run under a short deadline, a lease: a live owner starts the next lease at the same
// replica before the current one ends, resuming after the last event. If the owner loses power or is cut off, its items keep their
// slots no longer than one lease. Without leases the items of a lost owner, which may occupy most slots, would run to their end,
// unknown to all other nodes.
const (
	// minLease and maxLease bound a lease.
	minLease = 1500 * time.Millisecond
	maxLease = 10 * time.Second
	// maxLeaseOverhead is the share of an item's time at replicas that starting leases may take.
	maxLeaseOverhead = 0.01
	// scarceOccupancy is the share of all slots in use up to which a lease covers the whole rest of an item: up to it nobody needs
	// the slots that a lost owner's items hold.
	scarceOccupancy = 0.5
	// While slots are scarce, the rest of an item is split into scarceLeaseParts leases of about equal length, unless it is no
	// longer than shortRestLeases times the shortest lease allowed.
	scarceLeaseParts = 2
	shortRestLeases  = 4
	// leaseEstimateFactor scales the estimated remaining time to the length of a lease that covers it.
	leaseEstimateFactor = 1.3
	// leaseMargin is how much earlier a lease ends at its owner than at the replica: a machine that has used up its processor quota
	// stops for up to 0.1 s.
	leaseMargin = 200 * time.Millisecond
	// startCostWeight is the weight of the newest observation in the mean cost of starting a lease.
	startCostWeight = 0.1
)

// errLeaseExpired is the cause of cancellation when an item's lease ends.
var errLeaseExpired = errors.New("item lease expired")

// leaseSizer chooses the length of leases: as short as the cost of starting them allows. It is safe for concurrent use.
type leaseSizer struct {
	mutex sync.Mutex
	// meanStartCost is the mean time that starting a further lease costs; 0 until one was observed.
	meanStartCost time.Duration
}

// observe adds the observed cost of starting a further lease.
func (l *leaseSizer) observe(startCost time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.meanStartCost == 0 {
		l.meanStartCost = startCost
		return
	}
	l.meanStartCost += time.Duration(startCostWeight * float64(startCost-l.meanStartCost))
}

// length returns the length of the next lease of an item with the given estimated remaining time, while the share occupancy of all
// slots is in use. Each start of a lease cuts off the run before it, which costs the replica work; a long lease of a lost owner
// costs others the slot.
func (l *leaseSizer) length(remaining time.Duration, occupancy float64) time.Duration {
	l.mutex.Lock()
	shortest := min(maxLease, max(minLease, time.Duration(float64(l.meanStartCost)/maxLeaseOverhead)))
	l.mutex.Unlock()
	covering := time.Duration(leaseEstimateFactor*float64(remaining)) + leaseMargin
	if occupancy <= scarceOccupancy || remaining <= shortRestLeases*shortest {
		return min(maxLease, max(shortest, covering))
	}
	return min(maxLease, max(shortest, remaining/scarceLeaseParts))
}

// nextLease returns the length of the next lease of an attempt.
func (p *partition) nextLease(attempt *itemAttempt) time.Duration {
	p.mutex.Lock()
	remaining := p.state.paceOf(attempt.route.Name).remaining(attempt.item.Tokens, len(attempt.text))
	p.mutex.Unlock()
	return p.service.leases.length(remaining, p.service.occupancy(attempt.handle.Info().Service, clock.Now()))
}
