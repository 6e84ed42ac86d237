package job

import (
	"context"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// leaseDuration is how long after the start of a successful append an owner may
	// dispatch items without another append.
	leaseDuration = time.Second
	// leaseMargin covers the drift between the monotonic clocks of two nodes within leaseDuration.
	leaseMargin = 250 * time.Millisecond
)

// dispatchLease prevents an owner that was paused and replaced from dispatching items of
// a job whose cancel its successor has acknowledged. An engine call begins only within
// leaseDuration of an append that verified ownership, and a new owner acknowledges no
// cancel before the lease of its predecessor must have expired. The lease only limits
// when engines are called; records do not depend on it. It is safe for concurrent use.
type dispatchLease struct {
	mutex                sync.Mutex
	renewedAt            time.Time
	predecessorExpiresAt time.Time
}

// begin marks the start of this ownership, which the recovery has just verified.
func (l *dispatchLease) begin(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.predecessorExpiresAt = now.Add(leaseDuration + leaseMargin)
}

// renew extends the lease after a successful append that started at began.
func (l *dispatchLease) renew(began time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if began.After(l.renewedAt) {
		l.renewedAt = began
	}
}

// valid reports whether the lease has not expired at now.
func (l *dispatchLease) valid(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Sub(l.renewedAt) < leaseDuration
}

// untilPredecessorExpires returns how long the predecessor may still dispatch; it is not
// positive once the predecessor's lease has expired.
func (l *dispatchLease) untilPredecessorExpires(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.predecessorExpiresAt.Sub(now)
}

// ensureLease returns once the dispatch lease is valid, renewing it by an append if it has
// expired. Concurrent callers share one append.
func (p *partition) ensureLease(ctx context.Context) error {
	for !p.lease.valid(clock.Now()) {
		if err := p.propose(ctx, noOperation()); err != nil {
			return err
		}
	}
	return nil
}

// verifyOwnership verifies, by an append, that this node still owned the partition after
// the call began. A response read from its state afterwards is therefore never older than
// one already given by another owner. Its error is NotRun.
func (p *partition) verifyOwnership(ctx context.Context) error {
	err := p.propose(ctx, noOperation())
	if err == nil {
		return nil
	}
	failure := *outcome.As(err)
	failure.Outcome = outcome.NotRun
	return &failure
}

// verifiedQuery verifies ownership before the query, as responses to callers need.
func (p *partition) verifiedQuery(ctx context.Context, read func(*partitionState)) error {
	if err := p.verifyOwnership(ctx); err != nil {
		return err
	}
	return p.query(ctx, read)
}

func noOperation() ledger.Record {
	return ledger.Record{Kind: ledger.KindNoOperation}
}
