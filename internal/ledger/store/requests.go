package store

import (
	"context"

	"github.com/cockroachdb/pebble/v2"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
)

// Survey returns the store's promise and ensemble. A request for an earlier incarnation is answered only with the
// ensemble, which may be newer than the one that had that incarnation as a member.
func (s *Store) Survey(ctx context.Context, message *ledgerpb.SurveyRequest) (*ledgerpb.SurveyResponse, error) {
	return run(ctx, s, 0, func(*pebble.Batch) (*ledgerpb.SurveyResponse, error) {
		state := s.state(protocol.PartitionID(message.Partition))
		if !s.isID(message.Store) {
			return &ledgerpb.SurveyResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE, Ensemble: wire.FromEnsemble(state.Ensemble)}, nil
		}
		return &ledgerpb.SurveyResponse{
			Status: ledgerpb.Status_STATUS_OK, Promised: wire.FromBallot(state.Promised), Ensemble: wire.FromEnsemble(state.Ensemble),
		}, nil
	})
}

// Prepare answers a candidate owner's request for a promise.
func (s *Store) Prepare(ctx context.Context, message *ledgerpb.PrepareRequest) (*ledgerpb.PrepareResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.PrepareResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	return run(ctx, s, 0, func(batch *pebble.Batch) (*ledgerpb.PrepareResponse, error) {
		partition := protocol.PartitionID(message.Partition)
		promise, effect := s.state(partition).Prepare(protocol.Prepare{
			Ballot: wire.ToBallot(message.Ballot), Ensemble: wire.ToEnsemble(message.Ensemble),
		})
		if err := s.apply(batch, partition, effect); err != nil {
			return nil, err
		}
		return &ledgerpb.PrepareResponse{
			Status: wire.FromVerdict(promise.Verdict), Promised: wire.FromBallot(promise.Promised),
			Accepted: wire.FromBallot(promise.Accepted), RecoveredTo: uint64(promise.RecoveredTo),
			First: uint64(promise.First), Committed: uint64(promise.Committed), Last: uint64(promise.Last),
			Snapshot: wire.FromSnapshotInfo(promise.Snapshot), Ensemble: wire.FromEnsemble(promise.Ensemble),
			Proposal: wire.FromProposal(promise.Proposal),
		}, nil
	})
}

// Propose accepts or refuses an owner's proposal for the next ensemble.
func (s *Store) Propose(ctx context.Context, message *ledgerpb.ProposeRequest) (*ledgerpb.ProposeResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.ProposeResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	return run(ctx, s, 0, func(batch *pebble.Batch) (*ledgerpb.ProposeResponse, error) {
		partition := protocol.PartitionID(message.Partition)
		answer, effect := s.state(partition).ProposeEnsemble(wire.ToProposal(message.Proposal))
		if err := s.apply(batch, partition, effect); err != nil {
			return nil, err
		}
		return &ledgerpb.ProposeResponse{Status: wire.FromVerdict(answer.Verdict), Promised: wire.FromBallot(answer.Promised)}, nil
	})
}

// Append writes records of an owner. It refuses records while the disk has less than Options.MinimumBytes free.
func (s *Store) Append(ctx context.Context, message *ledgerpb.AppendRequest) (*ledgerpb.AppendResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.AppendResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	entries := wire.ToEntries(message.Entries, wire.ToBallot(message.Ballot))
	size := 0
	for i, entry := range entries {
		if entry.Position != protocol.Position(message.First)+protocol.Position(i) {
			return &ledgerpb.AppendResponse{Status: ledgerpb.Status_STATUS_INVALID}, nil
		}
		size += len(entry.Record.Payload)
	}
	free, err := s.options.Free()
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 && free < s.options.MinimumBytes {
		return &ledgerpb.AppendResponse{Status: ledgerpb.Status_STATUS_FULL, SpaceLow: true}, nil
	}
	return run(ctx, s, size, func(batch *pebble.Batch) (*ledgerpb.AppendResponse, error) {
		partition := protocol.PartitionID(message.Partition)
		answer, effect := s.state(partition).Append(protocol.Append{
			Ballot: wire.ToBallot(message.Ballot), First: protocol.Position(message.First), Entries: entries,
			Committed: protocol.Position(message.Committed), RecoveredTo: protocol.Position(message.RecoveredTo),
		})
		if answer.Verdict == protocol.VerdictOK {
			s.recordAppend(partition)
		}
		if err := s.apply(batch, partition, effect); err != nil {
			return nil, err
		}
		return &ledgerpb.AppendResponse{
			Status: wire.FromVerdict(answer.Verdict), Promised: wire.FromBallot(answer.Promised),
			Through: uint64(answer.Through), SpaceLow: free < s.options.ReserveBytes,
		}, nil
	})
}

// Trim removes records that are covered by the snapshot.
func (s *Store) Trim(ctx context.Context, message *ledgerpb.TrimRequest) (*ledgerpb.TrimResponse, error) {
	if !s.isID(message.Store) {
		return &ledgerpb.TrimResponse{Status: ledgerpb.Status_STATUS_WRONG_STORE}, nil
	}
	return run(ctx, s, 0, func(batch *pebble.Batch) (*ledgerpb.TrimResponse, error) {
		partition := protocol.PartitionID(message.Partition)
		state := s.state(partition)
		answer, effect := state.Trim(wire.ToBallot(message.Ballot), protocol.Position(message.KeepFrom))
		if err := s.apply(batch, partition, effect); err != nil {
			return nil, err
		}
		return &ledgerpb.TrimResponse{
			Status: wire.FromVerdict(answer.Verdict), Promised: wire.FromBallot(answer.Promised), First: uint64(state.First),
		}, nil
	})
}

func (s *Store) isID(store string) bool { return s.id == protocol.StoreID(store) }

// state returns the partition's state, and creates it if necessary. It must be called on the step goroutine.
func (s *Store) state(partition protocol.PartitionID) *protocol.StoreState {
	state, present := s.states[partition]
	if !present {
		fresh := protocol.NewStoreState()
		state = &fresh
		s.states[partition] = state
	}
	return state
}

// apply adds the effect's writes and the partition's state to batch.
func (s *Store) apply(batch *pebble.Batch, partition protocol.PartitionID, effect protocol.Effect) error {
	if !effect.Changed {
		return nil
	}
	for _, removed := range effect.Remove {
		if err := batch.DeleteRange(recordKey(partition, removed.From), recordKey(partition, removed.To+1), nil); err != nil {
			return err
		}
	}
	for _, entry := range effect.Write {
		key := recordKey(partition, entry.Position)
		if err := batch.Set(key, seal(key, encodeEntry(entry)), nil); err != nil {
			return err
		}
	}
	value, err := encodeState(*s.states[partition])
	if err != nil {
		return err
	}
	key := partitionKey(partition)
	if err := batch.Set(key, seal(key, value), nil); err != nil || !effect.EnsembleChanged {
		return err
	}
	ensemble, err := encodeEnsemble(s.states[partition].Ensemble)
	if err != nil {
		return err
	}
	key = ensembleKey(partition)
	return batch.Set(key, seal(key, ensemble), nil)
}
