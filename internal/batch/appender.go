package batch

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// proposalQueueSize bounds the proposals that wait to be appended.
	proposalQueueSize = 1024
	// appendMaxBytes bounds the records that are collected for one append.
	appendMaxBytes = 768 << 10
	// chunkBytes is the size of the records of a submission that is too large for one record.
	chunkBytes = 512 << 10
)

// proposal is a sequence of records that belong together; they take effect with the last one.
type proposal struct {
	records []ledger.Record
	bytes   int
	// done receives nil once all records are durable and applied to the state, or the error.
	done chan error
}

func newProposal(records ...ledger.Record) *proposal {
	created := &proposal{records: records, done: make(chan error, 1)}
	for _, record := range records {
		created.bytes += len(record.Payload)
	}
	return created
}

func newRecord(kind ledger.RecordKind, message proto.Message) ledger.Record {
	payload, err := proto.Marshal(message)
	if err != nil {
		panic("encode record: " + err.Error())
	}
	return ledger.Record{Kind: kind, Payload: payload}
}

// propose makes records durable, even if only the stores' reserve is left: new submissions are refused before that point. It waits
// until the records are applied to the state. NotRun means that the last record is not in the log and never will be.
func (p *partition) propose(ctx context.Context, records ...ledger.Record) error {
	request := newProposal(records...)
	if err := p.enqueue(ctx, request); err != nil {
		return err
	}
	return p.await(ctx, request)
}

// enqueue adds a proposal to the queue of the appender.
func (p *partition) enqueue(ctx context.Context, request *proposal) error {
	select {
	case p.proposals <- request:
		return nil
	case <-p.ctx.Done():
		return errNotOwner()
	case <-ctx.Done():
		return outcome.Wrap(ctx.Err(), outcome.NotRun, outcome.ReasonDeadline, "append was not begun")
	}
}

// await waits until an enqueued proposal is decided.
func (p *partition) await(ctx context.Context, request *proposal) error {
	select {
	case err := <-request.done:
		return err
	case <-p.ctx.Done():
		return outcome.New(outcome.Indeterminate, outcome.ReasonNotOwner, "ownership was lost during the append")
	case <-ctx.Done():
		return outcome.Wrap(ctx.Err(), outcome.Indeterminate, outcome.ReasonDeadline, "append was not acknowledged in time")
	}
}

// runAppender appends the queued proposals, one batch at a time, and applies them to the state in the order of the log.
func (p *partition) runAppender() {
	for {
		select {
		case first := <-p.proposals:
			p.appendAll(p.collect(first))
		case <-p.ctx.Done():
			return
		}
	}
}

// collect returns first and the proposals queued after it, within the bound of one append.
func (p *partition) collect(first *proposal) []*proposal {
	batch := []*proposal{first}
	bytes := first.bytes
	for bytes < appendMaxBytes {
		select {
		case next := <-p.proposals:
			batch = append(batch, next)
			bytes += next.bytes
		default:
			return batch
		}
	}
	return batch
}

// appendAll appends the proposals. The ledger waits until each append is decided or the ownership is lost, so an error other than
// the loss means that the append is certainly not in the log.
func (p *partition) appendAll(batch []*proposal) {
	var records []ledger.Record
	for _, request := range batch {
		records = append(records, request.records...)
	}
	var failure error
	for len(records) > 0 && failure == nil {
		part := fitOneAppend(records)
		failure = p.appendPart(part)
		records = records[len(part):]
	}
	for _, request := range batch {
		request.done <- failure
	}
}

// fitOneAppend returns the leading records that fit into one append, at least one.
func fitOneAppend(records []ledger.Record) []ledger.Record {
	bytes := 0
	for index, record := range records {
		bytes += len(record.Payload)
		if index > 0 && bytes > appendMaxBytes {
			return records[:index]
		}
	}
	return records
}

func (p *partition) appendPart(records []ledger.Record) error {
	startedAt := p.elapsed()
	first, err := p.owned.AppendReserved(p.ctx, records)
	if err != nil {
		if outcome.As(err).Reason == outcome.ReasonNotOwner {
			p.cancel()
		}
		return err
	}
	p.confirmedAt.Store(int64(startedAt))
	p.mutex.Lock()
	for index, record := range records {
		if err := p.state.apply(first+ledger.Position(index), record); err != nil {
			p.logger.Error().Err(err).Msg("record_not_applied")
		}
	}
	p.mutex.Unlock()
	p.wake()
	return nil
}
