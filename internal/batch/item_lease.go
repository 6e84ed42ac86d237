package batch

import (
	"errors"
	"sync"
	"time"
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

// length returns how long the next lease is.
func (l *leaseTerm) length() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return min(longestLease, max(leastLease, time.Duration(float64(l.resume)/leaseCost)))
}
