package ledger

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/outcome"
)

// appendRequest is one Append in flight to a write quorum.
type appendRequest struct {
	records []Record
	bytes   int
	// reserved is set if the records may use the stores' reserved disk space.
	reserved bool
	// first and last are set by run's goroutine when it assigns positions to the records.
	first, last Position
	proposedAt  time.Time
	// done receives nil or the error, once.
	done chan error
}

func (r *appendRequest) fail(err error) { r.done <- err }

func errNotOwner() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "partition is owned elsewhere")
}

func errOwnershipLost() *outcome.Error {
	return outcome.New(outcome.Indeterminate, outcome.ReasonNotOwner, "ownership was lost before the records were acknowledged")
}

// Partition returns the partition.
func (o *ownership) Partition() PartitionID { return o.partition }

// Lost is closed when the ownership ends.
func (o *ownership) Lost() <-chan struct{} { return o.lost }

// Append implements Owned.Append.
func (o *ownership) Append(ctx context.Context, records []Record) (Position, error) {
	return o.append(ctx, &appendRequest{records: records, done: make(chan error, 1)})
}

// AppendReserved implements Owned.AppendReserved.
func (o *ownership) AppendReserved(ctx context.Context, records []Record) (Position, error) {
	return o.append(ctx, &appendRequest{records: records, reserved: true, done: make(chan error, 1)})
}

// HasRoom implements Owned.HasRoom.
func (o *ownership) HasRoom() bool { return o.view.Load().hasRoom }

func (o *ownership) append(ctx context.Context, request *appendRequest) (Position, error) {
	records := request.records
	for _, record := range records {
		if len(record.Payload) > MaxRecordBytes {
			return 0, outcome.New(outcome.Failed, outcome.ReasonTooLarge, "record is over the limit")
		}
		request.bytes += len(record.Payload)
	}
	if len(records) == 0 {
		return 0, outcome.New(outcome.Failed, outcome.ReasonInvalid, "append without records")
	}
	select {
	case o.appends <- request:
	case <-o.lost:
		return 0, errNotOwner()
	case <-ctx.Done():
		return 0, outcome.Wrap(ctx.Err(), outcome.NotRun, outcome.ReasonDeadline, "append was not started")
	}
	select {
	case err := <-request.done:
		if err != nil {
			return 0, err
		}
		return request.first, nil
	case <-ctx.Done():
		return 0, outcome.Wrap(ctx.Err(), outcome.Indeterminate, outcome.ReasonDeadline, "append was not acknowledged in time")
	}
}

// propose assigns positions to the request's records and proposes them. It runs on run's goroutine.
func (o *ownership) propose(request *appendRequest) []protocol.Action {
	if !request.reserved && !o.owner.HasRoom() {
		request.fail(outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "too few stores have room").After(storageFullRetryAfter))
		return nil
	}
	first, actions := o.owner.Propose(request.records)
	request.proposedAt = clock.Now()
	request.first, request.last = first, first+Position(len(request.records))-1
	o.pending = append(o.pending, request)
	o.pendingBytes += request.bytes
	return actions
}

// acknowledge answers the requests whose records are all on a write quorum.
func (o *ownership) acknowledge(through Position) {
	answered := 0
	for _, request := range o.pending {
		if request.last > through {
			break
		}
		answered++
		o.pendingBytes -= request.bytes
		o.appendedRecords.Add(int64(len(request.records)))
		o.appendedBytes.Add(int64(request.bytes))
		request.done <- nil
	}
	o.pending = o.pending[answered:]
}

// Read implements Owned.Read.
func (o *ownership) Read(ctx context.Context, from Position, maxBytes int) ([]Record, error) {
	if !o.serving.Load() {
		return nil, errNotOwner()
	}
	committed := o.view.Load().committed
	if from > committed {
		return nil, nil
	}
	entries, err := o.readRange(ctx, from, committed, maxBytes)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, entry.Record)
	}
	return records, nil
}
