package ledger

import (
	"context"

	"github.com/sloelift/sloelift/internal/membership"
)

// SetRetiring names the nodes that are to be emptied: their stores are replaced in all ensembles where there are others, and
// they own no partition any more.
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

// mayOwn says whether a member may own partitions.
func (m *Manager) mayOwn(member *membership.Member) bool {
	if m.settings.OwnersOnStores && !member.Store {
		return false
	}
	return !m.isRetiring(member.ID)
}

// keptStores returns the live members that can come into ensembles.
func (m *Manager) keptStores(view *membership.View) []membership.Member {
	var kept []membership.Member
	for _, member := range storesOf(view) {
		if !m.isRetiring(member.ID) {
			kept = append(kept, member)
		}
	}
	return kept
}

// Emptied tells, from what the key-value service has now, whether no ensemble needs the store of node: it is a member of none, and
// all members of all are full ones.
func (m *Manager) Emptied(ctx context.Context, node membership.NodeID) (bool, error) {
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
