package job

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// proposalQueue bounds the records waiting to be appended.
	proposalQueue = 1024
	// appendMaxRecords and appendMaxBytes bound one batch. The record that reaches
	// appendMaxBytes is still part of it.
	appendMaxRecords = 512
	appendMaxBytes   = 1 << 20
)

// proposal is a record to be appended to the log.
type proposal struct {
	record ledger.Record
	// applied is closed once the record is durable and applied to the state, or has
	// failed, in which case err is set before.
	applied chan struct{}
	err     error
}

// appliedBatch holds the proposals of one successful append: proposal i is at position first+i.
type appliedBatch struct {
	first     ledger.Position
	proposals []*proposal
}

// propose appends the record and waits until it is applied to the state. The outcome
// NotRun means that the record is not in the log and never will be.
func (p *partition) propose(ctx context.Context, record ledger.Record) error {
	if len(record.Payload) > ledger.MaxRecordBytes {
		return outcome.New(outcome.NotRun, outcome.ReasonTooLarge, "a record is over the ledger's limit")
	}
	request := &proposal{record: record, applied: make(chan struct{})}
	select {
	case p.proposals <- request:
	case <-p.stopped:
		return errNotOwner()
	case <-ctx.Done():
		return contextError(ctx, outcome.NotRun)
	}
	select {
	case <-request.applied:
		return request.err
	case <-p.stopped:
		return outcome.New(outcome.Indeterminate, outcome.ReasonNotOwner, "ownership was lost during the append")
	case <-ctx.Done():
		return contextError(ctx, outcome.Indeterminate)
	}
}

// runAppender appends the queued records, one batch at a time: concurrent proposals
// share an append, and records are applied in log order.
func (p *partition) runAppender() {
	defer p.group.Done()
	for {
		var first *proposal
		select {
		case first = <-p.proposals:
		case <-p.stopped:
			return
		}
		batch := p.collectBatch(first)
		position, err := p.appendBatch(batch)
		if err != nil && outcome.As(err).Reason == outcome.ReasonStorageFull {
			// Reads stay available while the disks are full: ownership checks may use the reserved space.
			checks, others := splitOwnershipChecks(batch)
			failBatch(others, err)
			if batch = checks; len(checks) > 0 && len(others) > 0 {
				position, err = p.appendBatch(batch)
			}
		}
		if err != nil {
			failBatch(batch, err)
			continue
		}
		select {
		case p.applied <- appliedBatch{first: position, proposals: batch}:
		case <-p.stopped:
			return
		}
	}
}

// collectBatch returns first and the proposals queued behind it, within the bounds of one
// batch.
func (p *partition) collectBatch(first *proposal) []*proposal {
	batch := []*proposal{first}
	size := len(first.record.Payload)
	for len(batch) < appendMaxRecords && size < appendMaxBytes {
		select {
		case next := <-p.proposals:
			batch = append(batch, next)
			size += len(next.record.Payload)
		default:
			return batch
		}
	}
	return batch
}

// splitOwnershipChecks separates the no-operation records, which only verify ownership,
// from those with a payload.
func splitOwnershipChecks(batch []*proposal) (checks, others []*proposal) {
	for _, request := range batch {
		if request.record.Kind == ledger.KindNoOperation {
			checks = append(checks, request)
		} else {
			others = append(others, request)
		}
	}
	return checks, others
}

func failBatch(batch []*proposal, err error) {
	for _, request := range batch {
		request.err = err
		close(request.applied)
	}
}

// appendBatch appends the batch. After an append with an unknown outcome it repeats the
// same batch until an append succeeds or ownership is lost, and appends nothing else in
// between: a record that has not been applied must never precede one that was decided
// without it. Any record may therefore appear in the log twice.
func (p *partition) appendBatch(batch []*proposal) (ledger.Position, error) {
	records := make([]ledger.Record, len(batch))
	for index, request := range batch {
		records[index] = request.record
	}
	retryBackoff := newBackoff()
	indeterminate := false
	for {
		position, err := p.appendOnce(records)
		if err == nil {
			return position, nil
		}
		failure := outcome.As(err)
		if failure.Reason == outcome.ReasonNotOwner {
			p.halt()
			return 0, failure
		}
		if failure.Outcome == outcome.Indeterminate {
			indeterminate = true
		}
		if !indeterminate {
			return 0, failure
		}
		p.logger.Warn().Err(err).Int("records", len(records)).Msg("append_repeated")
		if !p.sleep(retryBackoff.NextBackOff()) {
			return 0, outcome.Wrap(err, outcome.Indeterminate, outcome.ReasonNotOwner, "ownership was lost during the append")
		}
	}
}

// appendOnce appends the records and, on success, renews the dispatch lease. It has no
// timeout of its own: the records would stay pending in the ledger, and their repetition
// would queue behind them.
func (p *partition) appendOnce(records []ledger.Record) (ledger.Position, error) {
	began := clock.Now()
	appendRecords := p.owned.Append
	if onlyOwnershipChecks(records) {
		appendRecords = p.owned.AppendReserved
	}
	position, err := appendRecords(p.serving, records)
	if err == nil {
		p.lease.renew(began)
	}
	return position, err
}

func onlyOwnershipChecks(records []ledger.Record) bool {
	return !slices.ContainsFunc(records, func(record ledger.Record) bool { return record.Kind != ledger.KindNoOperation })
}

// sleep waits; it returns false if the partition stops first.
func (p *partition) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.stopped:
		return false
	}
}

// Bounds of the jittered exponential backoff of this package.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// newBackoff returns a jittered exponential backoff that never gives up.
func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	policy.RandomizationFactor = 0.5
	return policy
}
