package ledger

import (
	"context"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// PartitionID names a partition of the ledger, 0 to the number of partitions - 1.
type PartitionID = protocol.PartitionID

// Position is the index of a record in its partition's log, from 1.
type Position = protocol.Position

// Record is one entry of a log; its payload, at most MaxRecordBytes, is made and read by the slice that owns Kind.
type Record = protocol.Record

// RecordKind tells which message a record's payload holds.
type RecordKind = protocol.RecordKind

// MaxRecordBytes bounds the payload of one record.
const MaxRecordBytes = 1 << 20

// Record kinds. Their payloads are messages of api/proto/job.
const (
	KindJobAccepted RecordKind = iota + 1
	KindItemAttempt
	KindItemCompleted
	KindJobCancelled
	KindKeyClaimed
	KindKeyCompleted
	KindJobExpired
	_ // KindNoOperation
	// Payloads of the following are messages of api/proto/batch.
	KindBatchChunk
	KindBatchAccepted
	KindBatchResult
	KindBatchProgress
	KindBatchEnded
	KindBatchForgotten
	KindBatchCrashed
	KindBatchFailed
	// KindNoOperation fills a position that recovery must write without a record.
	KindNoOperation = protocol.KindNoOperation
)

// Owned is a partition that this node owns under one ballot. Its methods are safe
// for concurrent use and fail with ReasonNotOwner once the ballot is lost.
type Owned interface {
	Partition() PartitionID
	// Append returns once all records are synced on a write quorum, in one batch, in
	// order; the result is the position of the first. An *outcome.Error with NotRun or Failed
	// means that they are not and never will be in the log; Indeterminate means that they, or the
	// first few of them, may be.
	Append(ctx context.Context, records []Record) (Position, error)
	// AppendReserved is Append that may use the room which the stores keep in reserve. It is for records that end work taken before, or
	// that prove the ownership: without them a full disk would hold up for ever what it has.
	AppendReserved(ctx context.Context, records []Record) (Position, error)
	// HasRoom tells whether Append takes records, as far as the stores' disks go.
	HasRoom() bool
	// Read returns records from position from on, in order, at most maxBytes of payload but
	// at least one; none behind the log's end. It serves bulk data from the stores' disks so that it
	// need not live in memory. A trimmed position is an *outcome.Error with ReasonNotFound.
	Read(ctx context.Context, from Position, maxBytes int) ([]Record, error)
	// Lost is closed when the node no longer owns the partition.
	Lost() <-chan struct{}
}

// StateMachine is built from a partition's log by the slice that uses it.
type StateMachine interface {
	// Restore is called first, with the latest snapshot or nil; then Apply is called with
	// every record behind the snapshot, in order, before the partition serves. Each new
	// ownership starts with a new StateMachine. Records of KindNoOperation carry nothing.
	Restore(snapshot []byte) error
	Apply(position Position, record Record) error
	// Serve is called once all records are applied; owned appends go through it.
	// From here on the user applies its own appended records.
	Serve(owned Owned)
	// Snapshot returns the state up to and with the record at upTo. Records below
	// keepFrom are never read again and may be trimmed; those from keepFrom to upTo stay readable.
	Snapshot() (upTo, keepFrom Position, state []byte, err error)
	// Stop is called when ownership is lost; the state is dropped.
	Stop()
}

// Quiescer is a StateMachine with work that should not change owners halfway. Quiesce is called before a planned end of
// the ownership; it returns once no such work is under way, and none begins after that, or when ctx ends. Appends are
// taken meanwhile.
type Quiescer interface {
	Quiesce(ctx context.Context)
}

// Factory makes the state machine of a partition that this node comes to own.
type Factory func(partition PartitionID) StateMachine

// Locator tells which node owns a partition, as far as this node knows.
type Locator interface {
	// Partitions returns the fixed number of partitions.
	Partitions() int
	// PartitionOf hashes a key to its partition.
	PartitionOf(key string) PartitionID
	// Owner returns the peer address of the last known owner; ok is false where none is known.
	Owner(partition PartitionID) (address string, ok bool)
}
