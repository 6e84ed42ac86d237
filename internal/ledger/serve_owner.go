package ledger

import (
	"context"
	"net/netip"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
)

// serveOwner answers who owns a partition: this node where it does and is in contact with the stores, else whom it takes for the owner.
func (m *Manager) serveOwner(_ context.Context, _ netip.AddrPort, request *ledgerpb.OwnerRequest) (*ledgerpb.OwnerResponse, error) {
	partition := PartitionID(request.Partition)
	if ownership, present := m.ownership(partition); present && ownership.inContact(clock.Now()) {
		return &ledgerpb.OwnerResponse{Owned: true, Owner: string(m.self)}, nil
	}
	hint, _ := m.hints.get(partition)
	return &ledgerpb.OwnerResponse{Owner: string(hint)}, nil
}

// serveRelease gives a partition up to the node that asks, where that node is to own it, or where this node leaves or does not serve it well.
func (m *Manager) serveRelease(ctx context.Context, _ netip.AddrPort, request *ledgerpb.ReleaseRequest) (*ledgerpb.ReleaseResponse, error) {
	partition := PartitionID(request.Partition)
	ownership, present := m.ownership(partition)
	if !present {
		return &ledgerpb.ReleaseResponse{Released: true}, nil
	}
	preferred, _ := preferredOwner(m.viewer.View(), partition, m.ownersOf(partition))
	now := clock.Now()
	settling := now.Sub(ownership.began) < m.timing.Settle
	if (string(preferred.ID) != request.Successor || settling) && !m.leaving.Load() && ownership.servesWell(now) {
		return &ledgerpb.ReleaseResponse{}, nil
	}
	if !ownership.release(ctx) {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the ownership did not end in time")
	}
	m.hints.set(partition, membership.NodeID(request.Successor))
	return &ledgerpb.ReleaseResponse{Released: true}, nil
}

// serveEnsembles answers with what this node knows of the head and the ensembles.
func (m *Manager) serveEnsembles(context.Context, netip.AddrPort, *ledgerpb.EnsemblesRequest) (*ledgerpb.EnsemblesResponse, error) {
	return m.directory.export(), nil
}
