package ledger

import (
	"context"
	"time"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/outcome"
)

// storageFullRetryAfter is the retry delay for a caller refused because too few stores have disk space.
const storageFullRetryAfter = 30 * time.Second

// fetchBytes bounds the payload of one read: for recovery, for copying to a store that lacks records, or for loading.
const fetchBytes = 1 << 20

// member returns the member, or learner, with a store; it was one when the request was made.
func (o *ownership) member(store protocol.StoreID) protocol.Member {
	for _, holding := range o.view.Load().holdings {
		if holding.Member.Store == store {
			return holding.Member
		}
	}
	return protocol.Member{}
}

func (o *ownership) sendPrepare(ctx context.Context, action protocol.SendPrepare) func() []protocol.Action {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.prepare(ctx, o.member(action.Store), &ledgerpb.PrepareRequest{
		Partition: uint32(o.partition), Store: string(action.Store),
		Ballot: wire.FromBallot(action.Prepare.Ballot), Ensemble: wire.FromEnsemble(action.Prepare.Ensemble),
	})
	verdict, known := wire.ToVerdict(response.GetStatus())
	if err != nil || !known {
		return o.failed(action.Store)
	}
	promise := protocol.Promise{
		Verdict: verdict, Promised: wire.ToBallot(response.Promised), Accepted: wire.ToBallot(response.Accepted),
		RecoveredTo: Position(response.RecoveredTo), First: Position(response.First),
		Committed: Position(response.Committed), Last: Position(response.Last),
		Snapshot: wire.ToSnapshotInfo(response.Snapshot), Ensemble: wire.ToEnsemble(response.Ensemble),
		Proposal: wire.ToProposal(response.Proposal),
	}
	return func() []protocol.Action { return o.owner.Promised(action.Store, promise) }
}

func (o *ownership) readTail(ctx context.Context, action protocol.ReadTail) func() []protocol.Action {
	entries, err := o.readAll(ctx, action.Store, action.From, action.To)
	if err != nil {
		return o.failed(action.Store)
	}
	return func() []protocol.Action { return o.owner.TailRead(action.Store, entries) }
}

// readAll reads all entries from..to at one store.
func (o *ownership) readAll(ctx context.Context, store protocol.StoreID, from, to Position) ([]protocol.Entry, error) {
	var entries []protocol.Entry
	for from <= to {
		read, err := o.readStore(ctx, store, from, to, fetchBytes)
		if err != nil {
			return nil, err
		}
		entries = append(entries, read...)
		from += Position(len(read))
	}
	return entries, nil
}

// readStore reads entries from one store: at least one, or it returns an error.
func (o *ownership) readStore(ctx context.Context, store protocol.StoreID, from, to Position, maxBytes int) ([]protocol.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.read(ctx, o.member(store), &ledgerpb.ReadRequest{
		Partition: uint32(o.partition), Store: string(store), From: uint64(from), To: uint64(to), MaxBytes: uint64(max(maxBytes, 0)),
	})
	if err != nil {
		return nil, err
	}
	if response.Status != ledgerpb.Status_STATUS_OK || len(response.Entries) == 0 {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "store can't read the record: "+response.Status.String())
	}
	return wire.ToEntries(response.Entries, protocol.Ballot{}), nil
}

func (o *ownership) sendAppend(ctx context.Context, action protocol.SendAppend) func() []protocol.Action {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.append(ctx, o.member(action.Store), &ledgerpb.AppendRequest{
		Partition: uint32(o.partition), Store: string(action.Store), Ballot: wire.FromBallot(action.Append.Ballot),
		First: uint64(action.Append.First), Entries: wire.FromEntries(action.Append.Entries, action.Append.Ballot),
		Committed: uint64(action.Append.Committed), RecoveredTo: uint64(action.Append.RecoveredTo),
	})
	if err == nil && response.Status == ledgerpb.Status_STATUS_FULL {
		return func() []protocol.Action {
			o.retryLater(action.Store)
			return o.owner.StoreFull(action.Store)
		}
	}
	verdict, known := wire.ToVerdict(response.GetStatus())
	if err != nil || !known {
		return o.failed(action.Store)
	}
	answer := protocol.Acknowledgement{Verdict: verdict, Promised: wire.ToBallot(response.Promised), Through: Position(response.Through)}
	return func() []protocol.Action { return o.owner.Acknowledged(action.Store, answer, response.SpaceLow) }
}

func (o *ownership) sendProposal(ctx context.Context, action protocol.SendProposal) func() []protocol.Action {
	ctx, cancel := context.WithTimeout(ctx, o.timing.Request)
	defer cancel()
	response, err := o.stores.propose(ctx, o.member(action.Store), &ledgerpb.ProposeRequest{
		Partition: uint32(o.partition), Store: string(action.Store), Proposal: wire.FromProposal(action.Proposal),
	})
	verdict, known := wire.ToVerdict(response.GetStatus())
	if err != nil || !known {
		return func() []protocol.Action { return o.owner.ProposalFailed(action.Store) }
	}
	answer := protocol.Acknowledgement{Verdict: verdict, Promised: wire.ToBallot(response.Promised)}
	return func() []protocol.Action { return o.owner.ProposalAnswered(action.Store, answer) }
}

func (o *ownership) fetch(ctx context.Context, action protocol.Fetch) func() []protocol.Action {
	entries, err := o.readStore(ctx, action.Source, action.From, action.To, fetchBytes)
	if err == nil {
		err = o.stores.refill.WaitN(ctx, payloadBytes(entries))
	}
	if err != nil {
		return o.failed(action.Store)
	}
	return func() []protocol.Action { return o.owner.Fetched(action.Store, entries) }
}

func payloadBytes(entries []protocol.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Record.Payload)
	}
	return size
}

// readRange reads entries from a store that has them, trying the local one first.
func (o *ownership) readRange(ctx context.Context, from, to Position, maxBytes int) ([]protocol.Entry, error) {
	var last error
	readers := o.readers(from)
	trimmed := len(readers) > 0
	for _, holding := range readers {
		if holding.First > from {
			continue
		}
		trimmed = false
		entries, err := o.readStore(ctx, holding.Member.Store, from, min(to, holding.Through), maxBytes)
		if err == nil {
			return entries, nil
		}
		last = err
	}
	if trimmed {
		return nil, outcome.New(outcome.Failed, outcome.ReasonNotFound, "record is not kept")
	}
	return nil, outcome.Wrap(last, outcome.NotRun, outcome.ReasonUnavailable, "no store could read the record")
}

// readers returns the stores whose log is known to be valid up to position, in the order to try them.
func (o *ownership) readers(position Position) []protocol.Holding {
	var local, answering, failing []protocol.Holding
	for _, holding := range o.view.Load().holdings {
		switch {
		case holding.Through < position:
		case o.stores.local != nil && o.stores.local.ID() == holding.Member.Store:
			local = append(local, holding)
		case holding.Failing:
			failing = append(failing, holding)
		default:
			answering = append(answering, holding)
		}
	}
	return append(append(local, answering...), failing...)
}
