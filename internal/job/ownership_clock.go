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
	// confirmWindow is how long after the start of a successful append an owner may
	// dispatch items without another one.
	confirmWindow = time.Second
	// confirmMargin covers what two monotonic clocks may differ in rate within the window.
	confirmMargin = 250 * time.Millisecond
)

// ownershipClock keeps an owner that was paused and replaced from dispatching items
// of a job whose cancel its successor has acknowledged: a call to an engine begins
// only within confirmWindow of an append that proved ownership, and a new owner
// acknowledges no cancel before its predecessor's window must be over. No record
// depends on this, only when an engine is called. It is safe for concurrent use.
type ownershipClock struct {
	mutex       sync.Mutex
	confirmedAt time.Time
	settledAt   time.Time
}

// begin sets the start of this ownership, which its recovery has just proved.
func (c *ownershipClock) begin(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.settledAt = now.Add(confirmWindow + confirmMargin)
}

// confirm takes the start of an append that succeeded.
func (c *ownershipClock) confirm(began time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if began.After(c.confirmedAt) {
		c.confirmedAt = began
	}
}

func (c *ownershipClock) confirmed(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.confirmedAt) < confirmWindow
}

// untilSettled is how long the predecessor may still dispatch.
func (c *ownershipClock) untilSettled(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.settledAt.Sub(now)
}

// confirmOwnership returns once ownership was proved within the window. Callers that
// come together share one append.
func (p *partition) confirmOwnership(ctx context.Context) error {
	for !p.ownership.confirmed(clock.Now()) {
		if err := p.propose(ctx, noOperation()); err != nil {
			return err
		}
	}
	return nil
}

// proveOwnership makes sure by an append that this node owned the partition after the call began, so that an answer from
// its state is never older than one that another owner has given. Its error is NotRun.
func (p *partition) proveOwnership(ctx context.Context) error {
	err := p.propose(ctx, noOperation())
	if err == nil {
		return nil
	}
	failure := *outcome.As(err)
	failure.Outcome = outcome.NotRun
	return &failure
}

// read is query for an answer to a caller.
func (p *partition) read(ctx context.Context, read func(*partitionState)) error {
	if err := p.proveOwnership(ctx); err != nil {
		return err
	}
	return p.query(ctx, read)
}

func noOperation() ledger.Record {
	return ledger.Record{Kind: ledger.KindNoOperation}
}
