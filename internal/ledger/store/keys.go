package store

import (
	"encoding/binary"
	"math"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// First bytes of the database's keys.
const (
	prefixIncarnation = 'i'
	prefixPartition   = 'p'
	prefixEnsemble    = 'e'
	prefixWrite       = 'w'
	prefixRecord      = 'r'
	prefixSnapshot    = 's'
)

func incarnationKey() []byte { return []byte{prefixIncarnation} }

// writeKey holds the number of the last write.
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

// snapshotKey is the key of the chunk at offset of the snapshot with the given digest.
func snapshotKey(partition protocol.PartitionID, digest, offset uint64) []byte {
	key := binary.BigEndian.AppendUint32([]byte{prefixSnapshot}, uint32(partition))
	key = binary.BigEndian.AppendUint64(key, digest)
	return binary.BigEndian.AppendUint64(key, offset)
}

// snapshotEnd is the key behind the last chunk of the snapshot with the given digest; it is above every chunk of the
// partition for the highest digest.
func snapshotEnd(partition protocol.PartitionID, digest uint64) []byte {
	return append(snapshotKey(partition, digest, math.MaxUint64), 0)
}
