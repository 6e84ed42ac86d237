package ledger

import (
	"context"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// PartitionID identifies a partition of the ledger: 0 to the number of partitions - 1, or the number of a
// partition that is confined to regions (see IsConfined).
type PartitionID = protocol.PartitionID

// Position is the 1-based index of a record in its partition's log.
type Position = protocol.Position

// Record is the content of a log entry. Its payload holds at most MaxRecordBytes; the package that owns Kind
// encodes and decodes it.
type Record = protocol.Record

// RecordKind identifies the message type of a record's payload.
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
	KindBatchRewritten
	KindBatchPlaced
	// KindNoOperation fills a position for which recovery found no record.
	KindNoOperation = protocol.KindNoOperation
)

// Owned is a partition that this node owns under one ballot. Its methods are safe
// for concurrent use and fail with ReasonNotOwner once the ballot is lost.
type Owned interface {
	Partition() PartitionID
	// Append writes the records as one batch, in order, and returns once all are synced on a write
	// quorum. It returns the position of the first. An *outcome.Error with NotRun or Failed
	// means that they are not and never will be in the log; Indeterminate means that they, or a
	// prefix of them, may be.
	Append(ctx context.Context, records []Record) (Position, error)
	// AppendReserved is like Append but may use the disk space that the stores keep in reserve. It is for records
	// that complete work accepted before, or that prove the ownership: without them, work held by a full disk
	// could never end.
	AppendReserved(ctx context.Context, records []Record) (Position, error)
	// HasRoom reports whether the stores have disk space for Append.
	HasRoom() bool
	// Read returns records starting at position from, in order: at least one, and otherwise at most maxBytes
	// of payload. It returns none past the end of the log. Bulk data can be read from the stores' disks by it
	// instead of being held in memory. A trimmed position is an *outcome.Error with ReasonNotFound.
	Read(ctx context.Context, from Position, maxBytes int) ([]Record, error)
	// Lost is closed when the node no longer owns the partition.
	Lost() <-chan struct{}
}

// StateMachine is the state that a user of the ledger builds from a partition's log. Each ownership
// starts with a new StateMachine.
type StateMachine interface {
	// Restore is called first, with the latest snapshot, or nil if there is none.
	Restore(snapshot []byte) error
	// Apply is called with every record after the snapshot, in order, before the partition serves.
	// Records of KindNoOperation have no payload.
	Apply(position Position, record Record) error
	// Serve is called once all records are applied. The state machine appends through owned.
	// From then on it applies its own appended records.
	Serve(owned Owned)
	// Snapshot returns the state up to and including the record at upTo. Records below
	// keepFrom are never read again and may be trimmed; those from keepFrom to upTo stay readable.
	Snapshot() (upTo, keepFrom Position, state []byte, err error)
	// Stop is called when ownership is lost; the state is discarded.
	Stop()
}

// Quiescer is implemented by a StateMachine whose work should not be interrupted by a change of owner. Quiesce is
// called before a planned end of the ownership. It returns when no such work is in progress and none will
// start, or when ctx ends. Appends are still accepted during the call.
type Quiescer interface {
	Quiesce(ctx context.Context)
}

// Factory creates the state machine for a partition of which this node becomes the owner.
type Factory func(partition PartitionID) StateMachine

// Locator finds the owner of a partition, to the best of this node's knowledge.
type Locator interface {
	// Partitions returns the fixed number of partitions.
	Partitions() int
	// PartitionOf hashes a key to its partition.
	PartitionOf(key string) PartitionID
	// Owner returns the peer address of the last known owner; ok is false if none is known.
	Owner(partition PartitionID) (address string, ok bool)
}
