// Package ledgertest provides an in-memory, unreplicated partition log for tests of
// packages that implement ledger.StateMachine.
package ledgertest

import (
	"context"
	"sync"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// Log is the log of one partition. Its records and snapshot remain when its owner changes. It is safe for concurrent use.
type Log struct {
	partition ledger.PartitionID

	mutex sync.Mutex
	// first is the position of records[0]; lower ones are trimmed.
	first    ledger.Position
	records  []ledger.Record
	snapshot []byte
	// covered is the last position whose record the snapshot includes.
	covered   ledger.Position
	owner     *Owned
	appendErr error
}

// NewLog returns an empty log.
func NewLog(partition ledger.PartitionID) *Log {
	return &Log{partition: partition, first: 1}
}

// Start begins a new ownership with machine as its state machine: the machine restores the latest snapshot, applies
// every later record and serves. The previous ownership ends first.
func (l *Log) Start(machine ledger.StateMachine) (*Owned, error) {
	l.mutex.Lock()
	l.loseLocked()
	owned := &Owned{log: l, lost: make(chan struct{})}
	l.owner = owned
	snapshot, covered, first := l.snapshot, l.covered, l.first
	records := append([]ledger.Record(nil), l.records...)
	l.mutex.Unlock()
	if err := machine.Restore(snapshot); err != nil {
		return nil, err
	}
	for i, record := range records {
		position := first + ledger.Position(i)
		if position <= covered {
			continue
		}
		if err := machine.Apply(position, record); err != nil {
			return nil, err
		}
	}
	machine.Serve(owned)
	return owned, nil
}

// Compact takes machine's snapshot and trims the records below keepFrom.
func (l *Log) Compact(machine ledger.StateMachine) error {
	upTo, keepFrom, state, err := machine.Snapshot()
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.snapshot, l.covered = append([]byte{}, state...), upTo
	if keepFrom > l.first {
		l.records = append([]ledger.Record(nil), l.records[keepFrom-l.first:]...)
		l.first = keepFrom
	}
	return nil
}

// FailAppends makes every later Append return err without effect; nil ends that.
func (l *Log) FailAppends(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appendErr = err
}

// Lose ends the current ownership. It does not call the state machine's Stop.
func (l *Log) Lose() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.loseLocked()
}

// Records returns the position of the first record in the log and a copy of all records.
func (l *Log) Records() (ledger.Position, []ledger.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.first, append([]ledger.Record(nil), l.records...)
}

func (l *Log) loseLocked() {
	if l.owner != nil {
		close(l.owner.lost)
		l.owner = nil
	}
}

// Owned is one ownership of a Log.
type Owned struct {
	log  *Log
	lost chan struct{}
}

var _ ledger.Owned = (*Owned)(nil)

// Partition returns the log's partition.
func (o *Owned) Partition() ledger.PartitionID { return o.log.partition }

// Lost is closed when another owner starts or Log.Lose is called.
func (o *Owned) Lost() <-chan struct{} { return o.lost }

// Append adds records at the log's end.
func (o *Owned) Append(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	if err := ctx.Err(); err != nil {
		return 0, outcome.Wrap(err, outcome.NotRun, outcome.ReasonDeadline, "append was not started")
	}
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	if o.log.owner != o {
		return 0, outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "partition is owned elsewhere")
	}
	if o.log.appendErr != nil {
		return 0, o.log.appendErr
	}
	position := o.log.first + ledger.Position(len(o.log.records))
	for _, record := range records {
		record.Payload = append([]byte(nil), record.Payload...)
		o.log.records = append(o.log.records, record)
	}
	return position, nil
}

// AppendReserved is the same as Append: the log is never full.
func (o *Owned) AppendReserved(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	return o.Append(ctx, records)
}

// HasRoom is always true.
func (o *Owned) HasRoom() bool { return true }

// Read returns records starting at position from: at least one, and otherwise at most maxBytes of payload;
// past the end of the log it returns none.
func (o *Owned) Read(_ context.Context, from ledger.Position, maxBytes int) ([]ledger.Record, error) {
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	if o.log.owner != o {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "partition is owned elsewhere")
	}
	if from < o.log.first {
		return nil, outcome.New(outcome.Failed, outcome.ReasonNotFound, "record was trimmed")
	}
	var found []ledger.Record
	size := 0
	for i := from - o.log.first; i < ledger.Position(len(o.log.records)); i++ {
		record := o.log.records[i]
		size += len(record.Payload)
		if size > maxBytes && len(found) > 0 {
			break
		}
		found = append(found, record)
	}
	return found, nil
}
