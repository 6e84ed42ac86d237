package store

import (
	"encoding/binary"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// First bytes of the database's keys.
const (
	prefixIncarnation = 'i'
	prefixPartition   = 'p'
	prefixRecord      = 'r'
	prefixSnapshot    = 's'
)

func incarnationKey() []byte { return []byte{prefixIncarnation} }

func partitionKey(partition protocol.PartitionID) []byte {
	return binary.BigEndian.AppendUint32([]byte{prefixPartition}, uint32(partition))
}

func recordKey(partition protocol.PartitionID, position protocol.Position) []byte {
	key := binary.BigEndian.AppendUint32([]byte{prefixRecord}, uint32(partition))
	return binary.BigEndian.AppendUint64(key, uint64(position))
}

func positionOf(key []byte) protocol.Position {
	return protocol.Position(binary.BigEndian.Uint64(key[len(key)-8:]))
}

// snapshotKey is the key of the chunk at offset of the snapshot up to position.
func snapshotKey(partition protocol.PartitionID, upTo protocol.Position, offset uint64) []byte {
	key := binary.BigEndian.AppendUint32([]byte{prefixSnapshot}, uint32(partition))
	key = binary.BigEndian.AppendUint64(key, uint64(upTo))
	return binary.BigEndian.AppendUint64(key, offset)
}
