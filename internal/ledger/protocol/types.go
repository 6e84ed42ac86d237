package protocol

import (
	"cmp"
	"fmt"
)

// PartitionID identifies a partition of the ledger: 0 to the number of partitions - 1.
type PartitionID uint32

// Position is the 1-based index of a record in its partition's log.
type Position uint64

// RecordKind identifies the message type of a record's payload.
type RecordKind uint16

// KindNoOperation fills a position for which recovery found no record.
const KindNoOperation RecordKind = 8

// Record is the content of a log entry. The package that owns Kind encodes and decodes the payload.
type Record struct {
	Kind    RecordKind
	Payload []byte
}

// Ballot orders the owners of a partition: by ensemble version, then number, then owner.
// The zero Ballot is below all others. Owner is unique to one attempt to own the partition, so
// no two attempts ever use the same Ballot.
type Ballot struct {
	Version uint64
	Number  uint64
	Owner   string
}

// Compare returns -1, 0 or 1 if b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Version, other.Version),
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Owner, other.Owner),
	)
}

// Below reports whether b is lower than other.
func (b Ballot) Below(other Ballot) bool { return b.Compare(other) < 0 }

// String returns "version.number.owner".
func (b Ballot) String() string { return fmt.Sprintf("%d.%d.%s", b.Version, b.Number, b.Owner) }

// Entry is a record at its position in the log.
type Entry struct {
	Position Position
	// Ballot is the ballot that last wrote the entry.
	Ballot Ballot
	// Born is the ballot under which the record was first proposed; it never changes.
	Born   Ballot
	Record Record
}

// StoreID identifies one incarnation of a store: the content of its disk. A disk that
// lost its content comes back under another StoreID.
type StoreID string

// SnapshotInfo describes a snapshot: the state up to and including the record at UpTo.
type SnapshotInfo struct {
	UpTo Position
	// KeepFrom is the first position whose record is needed in addition to the snapshot.
	KeepFrom Position
	// Size is in bytes.
	Size uint64
	// Digest is the xxhash of the state.
	Digest uint64
}

// following returns the snapshot with KeepFrom not below that of an earlier snapshot at the same store. Records
// that the earlier snapshot did not need may already be trimmed; a store that listed them as needed again could
// not serve its snapshot to another store.
func (i SnapshotInfo) following(earlier SnapshotInfo) SnapshotInfo {
	i.KeepFrom = max(i.KeepFrom, earlier.KeepFrom)
	return i
}
