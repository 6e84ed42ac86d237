package ledger

import (
	"context"

	"github.com/sloelift/sloelift/internal/membership"
)

// SetRetiring sets the nodes that are being retired. Their stores are replaced in all ensembles if spare stores exist,
// and they own no partitions. If this node is among them, it hands its partitions over.
func (m *Manager) SetRetiring(nodes map[membership.NodeID]bool) {
	m.retiring.Store(&nodes)
	if nodes[m.self] && !m.leaving.Load() {
		m.background(func() {
			_ = m.Handover(m.ctx)
		})
	}
}

func (m *Manager) isRetiring(node membership.NodeID) bool {
	nodes := m.retiring.Load()
	return nodes != nil && (*nodes)[node]
}

// mayOwn reports whether a member may own partitions.
func (m *Manager) mayOwn(member *membership.Member) bool {
	if m.settings.OwnersOnStores && !member.Store {
		return false
	}
	return !m.isRetiring(member.ID)
}

// eligibleStores returns the live members whose stores may be added to ensembles.
func (m *Manager) eligibleStores(view *membership.View) []membership.Member {
	var kept []membership.Member
	for _, member := range storesOf(view) {
		if !m.isRetiring(member.ID) {
			kept = append(kept, member)
		}
	}
	return kept
}

// IsDrained reports whether no ensemble needs the store of node: it is a member of none, and no ensemble has a joining
// member. It first reads the current ensembles from the key-value service.
func (m *Manager) IsDrained(ctx context.Context, node membership.NodeID) (bool, error) {
	if err := m.directory.load(ctx); err != nil {
		return false, err
	}
	if !m.directory.complete() {
		return false, nil
	}
	for _, ensemble := range m.directory.all() {
		for _, member := range ensemble.Members {
			if member.Node == string(node) || member.Joining {
				return false, nil
			}
		}
	}
	return true, nil
}
