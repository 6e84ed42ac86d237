package store

import (
	"context"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
)

// staging is the progress of a snapshot that is received chunk by chunk. It belongs to the step goroutine.
type staging struct {
	info   protocol.SnapshotInfo
	next   uint64
	digest *xxhash.Digest
}

// SnapshotPut writes one chunk of a snapshot. The last chunk installs the snapshot.
func (s *Store) SnapshotPut(ctx context.Context, message *ledgerpb.SnapshotPutRequest) (*ledgerpb.SnapshotPutResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	free, err := s.options.Free()
	if err != nil {
		return nil, err
	}
	if free < s.options.MinimumBytes {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_FULL}, nil
	}
	return run(ctx, s, len(message.Chunk), func(batch *pebble.Batch) (*ledgerpb.SnapshotPutResponse, error) {
		return s.stage(batch, message)
	})
}

func (s *Store) stage(batch *pebble.Batch, message *ledgerpb.SnapshotPutRequest) (*ledgerpb.SnapshotPutResponse, error) {
	partition := protocol.PartitionID(message.Partition)
	state := s.state(partition)
	info := wire.ToSnapshotInfo(message.Info)
	if wire.ToBallot(message.Ballot).Below(state.Promised) {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_REFUSED, Promised: wire.FromBallot(state.Promised)}, nil
	}
	if !state.WantsSnapshot(info) {
		return s.installSnapshot(batch, partition, message)
	}
	staged := s.staging[partition]
	if message.Offset == 0 {
		staged = &staging{info: info, digest: xxhash.New()}
		s.staging[partition] = staged
	}
	if staged == nil || staged.info != info || staged.next != message.Offset {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_GAP}, nil
	}
	key := snapshotKey(partition, info.Digest, message.Offset)
	if err := batch.Set(key, seal(key, message.Chunk), nil); err != nil {
		return nil, err
	}
	_, _ = staged.digest.Write(message.Chunk)
	staged.next += uint64(len(message.Chunk))
	if staged.next < info.Size {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_OK, Next: staged.next}, nil
	}
	delete(s.staging, partition)
	if staged.next != info.Size || staged.digest.Sum64() != info.Digest {
		return &ledgerpb.SnapshotPutResponse{Status: ledgerpb.Status_STATUS_DAMAGED}, nil
	}
	return s.installSnapshot(batch, partition, message)
}

// installSnapshot makes the staged snapshot the current one of the partition and removes all others.
func (s *Store) installSnapshot(
	batch *pebble.Batch, partition protocol.PartitionID, message *ledgerpb.SnapshotPutRequest,
) (*ledgerpb.SnapshotPutResponse, error) {
	state := s.state(partition)
	info := wire.ToSnapshotInfo(message.Info)
	answer, effect := state.InstallSnapshot(wire.ToBallot(message.Ballot), protocol.Position(message.RecoveredTo), info)
	if effect.Changed {
		if err := removeOtherSnapshots(batch, partition, info.Digest); err != nil {
			return nil, err
		}
	}
	if err := s.apply(batch, partition, effect); err != nil {
		return nil, err
	}
	return &ledgerpb.SnapshotPutResponse{
		Status: wire.FromVerdict(answer.Verdict), Promised: wire.FromBallot(answer.Promised),
		Next: info.Size, Through: uint64(answer.Through),
	}, nil
}

func removeOtherSnapshots(batch *pebble.Batch, partition protocol.PartitionID, digest uint64) error {
	below := batch.DeleteRange(snapshotKey(partition, 0, 0), snapshotKey(partition, digest, 0), nil)
	above := batch.DeleteRange(snapshotEnd(partition, digest), snapshotEnd(partition, math.MaxUint64), nil)
	return errors.Join(below, above)
}

// SnapshotGet returns a chunk of the installed snapshot.
func (s *Store) SnapshotGet(ctx context.Context, message *ledgerpb.SnapshotGetRequest) (*ledgerpb.SnapshotGetResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.SnapshotGetResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	partition := protocol.PartitionID(message.Partition)
	return run(ctx, s, 0, func(*pebble.Batch) (*ledgerpb.SnapshotGetResponse, error) {
		info := s.state(partition).Snapshot
		if info.UpTo == 0 || (message.Offset > 0 && message.Offset >= info.Size) {
			return &ledgerpb.SnapshotGetResponse{Status: ledgerpb.Status_STATUS_NOT_FOUND, Info: wire.FromSnapshotInfo(info)}, nil
		}
		key := snapshotKey(partition, info.Digest, message.Offset)
		sealed, closer, err := s.database.Get(key)
		if errors.Is(err, pebble.ErrNotFound) {
			return &ledgerpb.SnapshotGetResponse{Status: ledgerpb.Status_STATUS_DAMAGED}, nil
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = closer.Close() }()
		chunk, err := unseal(key, sealed)
		if err != nil {
			return &ledgerpb.SnapshotGetResponse{Status: ledgerpb.Status_STATUS_DAMAGED}, nil
		}
		return &ledgerpb.SnapshotGetResponse{
			Status: ledgerpb.Status_STATUS_OK, Info: wire.FromSnapshotInfo(info), Chunk: append([]byte{}, chunk...),
		}, nil
	})
}
