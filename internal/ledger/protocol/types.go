package protocol

import (
	"cmp"
	"fmt"
)

// PartitionID names a partition of the ledger, 0 to the number of partitions - 1.
type PartitionID uint32

// Position is the index of a record in its partition's log, from 1.
type Position uint64

// RecordKind tells which message a record's payload holds.
type RecordKind uint16

// KindNoOperation fills a position that recovery must write without a record.
const KindNoOperation RecordKind = 8

// Record is one entry of a log; its payload is made and read by the slice that owns Kind.
type Record struct {
	Kind    RecordKind
	Payload []byte
}

// Ballot orders the owners of a partition: by ensemble version, then number, then owner.
// The zero Ballot is below all others. Owner is unique to one attempt to own the partition, so
// that no two attempts ever hold the same Ballot.
type Ballot struct {
	Version uint64
	Number  uint64
	Owner   string
}

// Compare returns -1, 0 or 1 as b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Version, other.Version),
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Owner, other.Owner),
	)
}

// Below tells whether b is lower than other.
func (b Ballot) Below(other Ballot) bool { return b.Compare(other) < 0 }

// String returns "version.number.owner".
func (b Ballot) String() string { return fmt.Sprintf("%d.%d.%s", b.Version, b.Number, b.Owner) }

// Entry is a record at its position under the ballot that last wrote it. Born is the ballot under which the record was
// first proposed; it never changes.
type Entry struct {
	Position Position
	Ballot   Ballot
	Born     Ballot
	Record   Record
}

// StoreID is the incarnation of a store: the name of what is on its disk. A disk that
// lost its content comes back under another StoreID.
type StoreID string

// SnapshotInfo describes a snapshot: the state up to and with the record at UpTo.
// Records below KeepFrom are not needed beside it.
type SnapshotInfo struct {
	UpTo     Position
	KeepFrom Position
	// Size is in bytes; Digest is the xxhash of the state.
	Size   uint64
	Digest uint64
}

// following returns the snapshot as it stands after an earlier one at the same store. What was not needed beside that is not needed later,
// and may be trimmed: a store that named it as needed again could fill no other store from its snapshot.
func (i SnapshotInfo) following(earlier SnapshotInfo) SnapshotInfo {
	i.KeepFrom = max(i.KeepFrom, earlier.KeepFrom)
	return i
}
