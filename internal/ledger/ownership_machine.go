package ledger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// snapshotChunkBytes is the size of a snapshot's chunks.
	snapshotChunkBytes = 1 << 20
	// snapshotCheckInterval is the interval at which it is checked whether a snapshot is due.
	snapshotCheckInterval = time.Second
)

// serveMachine applies the log up to last to a new state machine, lets it serve and takes its snapshots until
// the ownership ends. All calls of StateMachine methods are made from this goroutine.
func (o *ownership) serveMachine(last Position) {
	defer o.tasks.Done()
	machine := o.factory(o.partition)
	defer machine.Stop()
	began := clock.Now()
	loaded, err := o.load(o.ctx, machine, last)
	o.logger.Info().Stringer(fieldBallot, o.view.Load().ballot).Uint64(fieldPosition, uint64(last)).Dur("took", clock.Since(began)).
		Int("snapshot_bytes", loaded.snapshotBytes).Int("records", loaded.records).Int("record_bytes", loaded.recordBytes).
		Err(err).Msg("partition_loaded")
	if err != nil {
		if o.ctx.Err() == nil {
			o.logger.Warn().Err(err).Msg("partition_load_failed")
		}
		o.post(func() []protocol.Action { return o.owner.GiveUp(protocol.LossUnreadable) })
		return
	}
	machine.Serve(o)
	if quiescer, is := machine.(Quiescer); is {
		o.quiescer.Store(&quiescer)
	}
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if o.snapshotDue() {
				o.takeSnapshot(machine)
			}
		case <-o.lost:
			return
		}
	}
}

// loadedState is the amount that was read to restore a state machine.
type loadedState struct {
	snapshotBytes, records, recordBytes int
}

// load restores the latest snapshot and applies the records after it.
func (o *ownership) load(ctx context.Context, machine StateMachine, last Position) (loadedState, error) {
	info, state, err := o.latestSnapshot(ctx)
	loaded := loadedState{snapshotBytes: len(state)}
	if err != nil {
		return loaded, err
	}
	if err := machine.Restore(state); err != nil {
		return loaded, err
	}
	for from := info.UpTo + 1; from <= last; {
		entries, err := o.readRange(ctx, from, last, fetchBytes)
		if err != nil {
			return loaded, err
		}
		for _, entry := range entries {
			if err := machine.Apply(entry.Position, entry.Record); err != nil {
				return loaded, err
			}
		}
		from += Position(len(entries))
		loaded.records += len(entries)
		loaded.recordBytes += payloadBytes(entries)
		o.appendedRecords.Add(int64(len(entries)))
	}
	return loaded, nil
}

// latestSnapshot returns the newest snapshot, from the first store that can read it; nil if there is none.
func (o *ownership) latestSnapshot(ctx context.Context) (protocol.SnapshotInfo, []byte, error) {
	var newest protocol.SnapshotInfo
	var last error
	for _, holding := range o.view.Load().holdings {
		if holding.Snapshot.UpTo > newest.UpTo {
			newest = holding.Snapshot
		}
	}
	if newest.UpTo == 0 {
		return newest, nil, nil
	}
	for _, holding := range o.view.Load().holdings {
		if holding.Snapshot != newest {
			continue
		}
		state, err := o.readSnapshot(ctx, holding.Member.Store, newest)
		if err == nil {
			return newest, state, nil
		}
		last = err
	}
	return newest, nil, outcome.Wrap(last, outcome.NotRun, outcome.ReasonUnavailable, "no store could read the snapshot")
}

func (o *ownership) readSnapshot(ctx context.Context, store protocol.StoreID, info protocol.SnapshotInfo) ([]byte, error) {
	state := []byte{}
	for {
		chunk, err := o.readChunk(ctx, store, info, uint64(len(state)))
		if err != nil {
			return nil, err
		}
		state = append(state, chunk...)
		if uint64(len(state)) >= info.Size {
			break
		}
	}
	if xxhash.Sum64(state) != info.Digest {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "snapshot does not match its digest")
	}
	return state, nil
}

func (o *ownership) readChunk(ctx context.Context, store protocol.StoreID, info protocol.SnapshotInfo, offset uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.snapshotGet(ctx, o.member(store), &ledgerpb.SnapshotGetRequest{
		Partition: uint32(o.partition), Store: string(store), Offset: offset,
	})
	if err != nil {
		return nil, err
	}
	if response.Status != ledgerpb.Status_STATUS_OK || wire.ToSnapshotInfo(response.Info) != info || (len(response.Chunk) == 0 && info.Size > 0) {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "store can't read the snapshot: "+response.Status.String())
	}
	return response.Chunk, nil
}

// transferSnapshot copies a snapshot between stores, chunk by chunk.
func (o *ownership) transferSnapshot(ctx context.Context, action protocol.TransferSnapshot) func() []protocol.Action {
	info := protocol.SnapshotInfo{}
	for _, holding := range o.view.Load().holdings {
		if holding.Member.Store == action.Source {
			info = holding.Snapshot
		}
	}
	answer, err := o.putSnapshot(ctx, action.Store, action.Ballot, action.RecoveredTo, info, func(offset uint64) ([]byte, error) {
		return o.readChunk(ctx, action.Source, info, offset)
	})
	if err != nil {
		return o.failed(action.Store)
	}
	return func() []protocol.Action { return o.owner.SnapshotTransferred(action.Store, answer, info) }
}

// putSnapshot sends a snapshot to a store; chunk returns the chunk at an offset.
func (o *ownership) putSnapshot(
	ctx context.Context, store protocol.StoreID, ballot protocol.Ballot, recoveredTo Position, info protocol.SnapshotInfo,
	chunk func(offset uint64) ([]byte, error),
) (protocol.Acknowledgement, error) {
	for offset := uint64(0); ; {
		content, err := chunk(offset)
		if err != nil {
			return protocol.Acknowledgement{}, err
		}
		response, err := o.putChunk(ctx, store, &ledgerpb.SnapshotPutRequest{
			Partition: uint32(o.partition), Store: string(store), Ballot: wire.FromBallot(ballot), RecoveredTo: uint64(recoveredTo),
			Info: wire.FromSnapshotInfo(info), Offset: offset, Chunk: content,
		})
		if err != nil {
			return protocol.Acknowledgement{}, err
		}
		verdict, known := wire.ToVerdict(response.Status)
		if !known || verdict == protocol.VerdictGap {
			return protocol.Acknowledgement{}, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "store refused a chunk: "+response.Status.String())
		}
		if verdict != protocol.VerdictOK || response.Next >= info.Size {
			return protocol.Acknowledgement{Verdict: verdict, Promised: wire.ToBallot(response.Promised), Through: Position(response.Through)}, nil
		}
		offset = response.Next
	}
}

func (o *ownership) putChunk(ctx context.Context, store protocol.StoreID, request *ledgerpb.SnapshotPutRequest) (*ledgerpb.SnapshotPutResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	return o.stores.snapshotPut(ctx, o.member(store), request)
}

func (o *ownership) snapshotDue() bool {
	return o.appendedRecords.Load() >= int64(o.timing.SnapshotRecords) || o.appendedBytes.Load() >= int64(o.timing.SnapshotBytes)
}

// takeSnapshot writes the machine's snapshot to every responding store and trims the records that it covers.
func (o *ownership) takeSnapshot(machine StateMachine) {
	o.appendedRecords.Store(0)
	o.appendedBytes.Store(0)
	upTo, keepFrom, state, err := machine.Snapshot()
	if err != nil {
		o.logger.Warn().Err(err).Msg("snapshot_failed")
		return
	}
	view := o.view.Load()
	if view.phase != protocol.PhaseServing {
		return
	}
	if upTo == 0 || upTo > view.committed || keepFrom > upTo+1 {
		o.logger.Warn().Uint64(fieldPosition, uint64(upTo)).Msg("snapshot_out_of_range")
		return
	}
	info := protocol.SnapshotInfo{UpTo: upTo, KeepFrom: max(keepFrom, 1), Size: uint64(len(state)), Digest: xxhash.Sum64(state)}
	for _, holding := range view.holdings {
		if !holding.Attached || holding.Failing || holding.Through+1 < info.KeepFrom || holding.Snapshot.UpTo >= upTo {
			continue
		}
		o.snapshotStore(view, holding.Member.Store, info, state)
	}
}

// snapshotStore writes the snapshot to one store, under the ballot in view, and trims the store's log.
func (o *ownership) snapshotStore(view *ownedView, store protocol.StoreID, info protocol.SnapshotInfo, state []byte) {
	answer, err := o.putSnapshot(o.ctx, store, view.ballot, view.recoveredTo, info, func(offset uint64) ([]byte, error) {
		return state[offset:min(offset+snapshotChunkBytes, uint64(len(state)))], nil
	})
	if err != nil || answer.Verdict != protocol.VerdictOK {
		return
	}
	o.post(func() []protocol.Action {
		o.owner.SnapshotHeld(store, info)
		return nil
	})
	ctx, cancel := context.WithTimeout(o.ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.trim(ctx, o.member(store), &ledgerpb.TrimRequest{
		Partition: uint32(o.partition), Store: string(store), Ballot: wire.FromBallot(view.ballot), KeepFrom: uint64(info.KeepFrom),
	})
	if err != nil || response.Status != ledgerpb.Status_STATUS_OK {
		return
	}
	o.post(func() []protocol.Action {
		o.owner.Trimmed(store, Position(response.First))
		return nil
	})
}
