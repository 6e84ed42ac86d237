package ledger

import (
	"context"
	"net/netip"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
)

// serveOwner answers which node owns a partition: this node if it owns it and reaches a write quorum of its stores,
// otherwise the node that this one believes to be the owner.
func (m *Manager) serveOwner(_ context.Context, _ netip.AddrPort, request *ledgerpb.OwnerRequest) (*ledgerpb.OwnerResponse, error) {
	partition := PartitionID(request.Partition)
	if ownership, present := m.ownership(partition); present && ownership.inContact(clock.Now()) {
		return &ledgerpb.OwnerResponse{Owned: true, Owner: string(m.self)}, nil
	}
	hint, _ := m.hints.get(partition)
	return &ledgerpb.OwnerResponse{Owner: string(hint)}, nil
}

// serveRelease releases a partition to the requesting node if that node is the preferred owner and this ownership is
// older than Timing.MinTenure or this node alone is being retired, or if this node is leaving, or if its ownership is
// neither healthy nor being taken up. Otherwise it declines.
func (m *Manager) serveRelease(ctx context.Context, _ netip.AddrPort, request *ledgerpb.ReleaseRequest) (*ledgerpb.ReleaseResponse, error) {
	partition := PartitionID(request.Partition)
	ownership, present := m.ownership(partition)
	if !present {
		return &ledgerpb.ReleaseResponse{Released: true}, nil
	}
	preferred, _ := m.preferredOwner(m.viewer.View(), partition)
	now := clock.Now()
	retires := m.isRetiring(m.self) && !m.isRetiring(preferred.ID)
	withinMinTenure := now.Sub(ownership.began) < m.timing.MinTenure && !retires
	if (string(preferred.ID) != request.Successor || withinMinTenure) && !m.leaving.Load() && (ownership.healthy(now) || ownership.recovering(now)) {
		return &ledgerpb.ReleaseResponse{}, nil
	}
	if !ownership.release(ctx) {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the ownership did not end in time")
	}
	m.hints.set(partition, membership.NodeID(request.Successor))
	return &ledgerpb.ReleaseResponse{Released: true}, nil
}

// serveEnsembles answers with the head and the ensembles that this node knows.
func (m *Manager) serveEnsembles(context.Context, netip.AddrPort, *ledgerpb.EnsemblesRequest) (*ledgerpb.EnsemblesResponse, error) {
	return m.directory.export(), nil
}
