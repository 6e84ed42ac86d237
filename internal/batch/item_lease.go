package batch

import (
	"errors"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// A replica ends a run at its deadline. Items are run under a short one, a lease: an owner that lives begins the next lease at the
// same replica before the last one ends, behind the last event; of one that lost power or was cut off, no item holds a slot for longer.
// Without it the items of a lost owner, which may be in most slots, ran on for as long as they took, unknown to all other nodes.
const (
	// leastLease and longestLease bound a lease.
	leastLease   = 1500 * time.Millisecond
	longestLease = 10 * time.Second
	// leaseCost is the part of an item's time at replicas that the begin of leases may take.
	leaseCost = 0.01
	// leaseRoom is the part of all slots in use up to which a lease covers all that is left: the slots that a lost owner's items hold then are
	// needed by nobody.
	leaseRoom = 0.5
	// leaseParts is the number of leases of about equal length into which the rest of an item is cut where slots are scarce, and shortRest the
	// number of least leases up to which the rest is one.
	leaseParts = 2
	shortRest  = 4
	// leaseSpare is what a lease covers beyond the time that is left by estimate, as a part of it.
	leaseSpare = 1.3
	// leaseMargin is kept between the end of a lease at its owner and at the replica: a machine that has spent its processor time stands
	// still for up to 0.1 s.
	leaseMargin = 200 * time.Millisecond
	// resumeWeight is the part of the newest observation in the mean cost of the begin of a lease.
	resumeWeight = 0.1
)

// errLeaseOver says that an item's lease has ended.
var errLeaseOver = errors.New("lease is over")

// leaseTerm chooses how long leases are: as short as what it costs to begin one allows. It is safe for concurrent use.
type leaseTerm struct {
	mutex sync.Mutex
	// resume is the mean time that the begin of a further lease costs; 0 while none has been seen.
	resume time.Duration
}

// observe takes in what the begin of a further lease cost.
func (l *leaseTerm) observe(resume time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.resume == 0 {
		l.resume = resume
		return
	}
	l.resume += time.Duration(resumeWeight * float64(resume-l.resume))
}

// length returns how long the next lease is of an item that needs left by estimate, while the given part of all slots is in use. Each begin of
// a lease cuts the run before it off, which costs the replica work; a long lease of a lost owner costs others the slot.
func (l *leaseTerm) length(left time.Duration, taken float64) time.Duration {
	l.mutex.Lock()
	least := min(longestLease, max(leastLease, time.Duration(float64(l.resume)/leaseCost)))
	l.mutex.Unlock()
	whole := time.Duration(leaseSpare*float64(left)) + leaseMargin
	if taken <= leaseRoom || left <= shortRest*least {
		return min(longestLease, max(least, whole))
	}
	return min(longestLease, max(least, left/leaseParts))
}

// leaseOf returns how long the next lease of an attempt is.
func (p *partition) leaseOf(attempt *itemAttempt) time.Duration {
	p.mutex.Lock()
	left := p.state.paceOf(attempt.route.Name).left(attempt.sent.Tokens, len(attempt.text))
	p.mutex.Unlock()
	return p.service.leases.length(left, p.service.taken(attempt.handle.Info().Service, clock.Now()))
}
