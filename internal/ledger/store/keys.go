package store

import (
	"encoding/binary"
	"math"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Key prefixes, which are the first byte of each database key.
const (
	prefixIncarnation = 'i'
	prefixPartition   = 'p'
	prefixEnsemble    = 'e'
	prefixWrite       = 'w'
	prefixRecord      = 'r'
	prefixSnapshot    = 's'
)

func incarnationKey() []byte { return []byte{prefixIncarnation} }

// writeKey returns the key under which the number of the last write is stored.
func writeKey() []byte { return []byte{prefixWrite} }

func partitionKey(partition protocol.PartitionID) []byte {
	return binary.BigEndian.AppendUint32([]byte{prefixPartition}, uint32(partition))
}

func ensembleKey(partition protocol.PartitionID) []byte {
	return binary.BigEndian.AppendUint32([]byte{prefixEnsemble}, uint32(partition))
}

func recordKey(partition protocol.PartitionID, position protocol.Position) []byte {
	key := binary.BigEndian.AppendUint32([]byte{prefixRecord}, uint32(partition))
	return binary.BigEndian.AppendUint64(key, uint64(position))
}

func positionOf(key []byte) protocol.Position {
	return protocol.Position(binary.BigEndian.Uint64(key[len(key)-8:]))
}

// snapshotKey returns the key of the chunk at offset of the snapshot with the given digest.
func snapshotKey(partition protocol.PartitionID, digest, offset uint64) []byte {
	key := binary.BigEndian.AppendUint32([]byte{prefixSnapshot}, uint32(partition))
	key = binary.BigEndian.AppendUint64(key, digest)
	return binary.BigEndian.AppendUint64(key, offset)
}

// snapshotEnd returns the exclusive upper bound of the chunk keys of the snapshot with the given digest. For the highest
// digest it is above every chunk key of the partition.
func snapshotEnd(partition protocol.PartitionID, digest uint64) []byte {
	return append(snapshotKey(partition, digest, math.MaxUint64), 0)
}
