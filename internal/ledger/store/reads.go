package store

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/pebble/v2"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
)

// maxReadBytes bounds the payload of one answer, regardless of the request's MaxBytes. An answer may hold one larger
// record.
const maxReadBytes = 2 << 20

func partitionOf(key []byte) protocol.PartitionID {
	return protocol.PartitionID(binary.BigEndian.Uint32(key[1:5]))
}

// Read returns consecutive records as they are on disk. The caller must know whether they belong to the log: records that
// are not committed may be replaced later.
func (s *Store) Read(_ context.Context, message *ledgerpb.ReadRequest) (*ledgerpb.ReadResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.ReadResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	s.reading.RLock()
	defer s.reading.RUnlock()
	if s.ctx.Err() != nil {
		return nil, KindClosed.New("store is closed")
	}
	partition := protocol.PartitionID(message.Partition)
	iterator, err := s.database.NewIter(&pebble.IterOptions{
		LowerBound: recordKey(partition, protocol.Position(message.From)),
		UpperBound: recordKey(partition, protocol.Position(message.To)+1),
	})
	if err != nil {
		return nil, err
	}
	response := &ledgerpb.ReadResponse{Status: ledgerpb.Status_STATUS_OK}
	limit := int(min(message.MaxBytes, maxReadBytes))
	size := 0
	next := protocol.Position(message.From)
	for valid := iterator.First(); valid; valid = iterator.Next() {
		entry, err := readEntry(iterator)
		if err != nil {
			response.Damaged = uint64(next)
			break
		}
		size += len(entry.Record.Payload)
		if entry.Position != next || (size > limit && len(response.Entries) > 0) {
			break
		}
		response.Entries = append(response.Entries, wire.FromEntries([]protocol.Entry{entry}, protocol.Ballot{})...)
		next++
	}
	if err := iterator.Error(); err != nil {
		response.Damaged = uint64(next)
	}
	_ = iterator.Close()
	if len(response.Entries) == 0 {
		response.Status = ledgerpb.Status_STATUS_NOT_FOUND
		if response.Damaged > 0 {
			response.Status = ledgerpb.Status_STATUS_DAMAGED
		}
	}
	return response, nil
}

func readEntry(iterator *pebble.Iterator) (protocol.Entry, error) {
	sealed, err := iterator.ValueAndErr()
	if err != nil {
		return protocol.Entry{}, err
	}
	value, err := unseal(iterator.Key(), sealed)
	if err != nil {
		return protocol.Entry{}, err
	}
	return decodeEntry(positionOf(iterator.Key()), value)
}
