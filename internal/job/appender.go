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
	// proposalQueue bounds the records that wait for their append.
	proposalQueue = 1024
	// appendMaxRecords and appendMaxBytes bound one append.
	appendMaxRecords = 512
	appendMaxBytes   = 1 << 20
)

// proposal is a record on its way into the log.
type proposal struct {
	record ledger.Record
	// applied is closed once the record is durable and the state has it, or err is set.
	applied chan struct{}
	err     error
}

// appliedBatch is what one append made durable: proposal i is at position first+i.
type appliedBatch struct {
	first     ledger.Position
	proposals []*proposal
}

// propose makes the record durable and waits until the state has it. NotRun means
// that it isn't in the log and never will be.
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

// runAppender appends what waits, in one batch at a time, so that records that come
// together share one append and the log's order is the order of applying.
func (p *partition) runAppender() {
	defer p.group.Done()
	for {
		var first *proposal
		select {
		case first = <-p.proposals:
		case <-p.stopped:
			return
		}
		batch := p.gather(first)
		position, err := p.appendBatch(batch)
		if err != nil && outcome.As(err).Reason == outcome.ReasonStorageFull {
			// Reads go on while the disks are full: what proves the ownership may use the room in reserve.
			proofs, others := splitProofs(batch)
			failBatch(others, err)
			if batch = proofs; len(proofs) > 0 && len(others) > 0 {
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

// gather takes what waits behind first, within the bounds of one append.
func (p *partition) gather(first *proposal) []*proposal {
	batch := []*proposal{first}
	bytes := len(first.record.Payload)
	for len(batch) < appendMaxRecords && bytes < appendMaxBytes {
		select {
		case next := <-p.proposals:
			batch = append(batch, next)
			bytes += len(next.record.Payload)
		default:
			return batch
		}
	}
	return batch
}

// splitProofs parts the records that only prove the ownership from those that hold something.
func splitProofs(batch []*proposal) (proofs, others []*proposal) {
	for _, request := range batch {
		if request.record.Kind == ledger.KindNoOperation {
			proofs = append(proofs, request)
		} else {
			others = append(others, request)
		}
	}
	return proofs, others
}

func failBatch(batch []*proposal, err error) {
	for _, request := range batch {
		request.err = err
		close(request.applied)
	}
}

// appendBatch appends the batch. After an append whose end is unknown the same
// batch is appended again until it is surely in the log or ownership is lost, before
// anything else: a record that the state doesn't know must never lie in front of one
// that was decided without it. All records may stand in the log twice.
func (p *partition) appendBatch(batch []*proposal) (ledger.Position, error) {
	records := make([]ledger.Record, len(batch))
	for index, request := range batch {
		records[index] = request.record
	}
	wait := newBackOff()
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
		if !p.sleep(wait.NextBackOff()) {
			return 0, outcome.Wrap(err, outcome.Indeterminate, outcome.ReasonNotOwner, "ownership was lost during the append")
		}
	}
}

// appendOnce waits as long as the ledger does: a time limit of its own would leave the
// records pending there, to be followed by their repetition.
func (p *partition) appendOnce(records []ledger.Record) (ledger.Position, error) {
	began := clock.Now()
	add := p.owned.Append
	if onlyProofs(records) {
		add = p.owned.AppendReserved
	}
	position, err := add(p.serving, records)
	if err == nil {
		p.ownership.confirm(began)
	}
	return position, err
}

func onlyProofs(records []ledger.Record) bool {
	return !slices.ContainsFunc(records, func(record ledger.Record) bool { return record.Kind != ledger.KindNoOperation })
}

// sleep waits; it returns false if the partition stopped meanwhile.
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

// Bounds of the jittered exponential waits of this slice.
const (
	backOffFirst = 20 * time.Millisecond
	backOffMost  = 2 * time.Second
)

// newBackOff returns jittered exponential waits.
func newBackOff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = backOffFirst
	policy.MaxInterval = backOffMost
	policy.RandomizationFactor = 0.5
	return policy
}
