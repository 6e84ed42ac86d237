package ledger

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

// followInterval is the wait between two rounds of questions to retiring nodes.
const followInterval = 200 * time.Millisecond

// Reasons why a retiring node is not drained.
const (
	// ObstacleNoStore: no live store that is not being retired can replace the node's in an ensemble.
	ObstacleNoStore = "no_other_store"
	// ObstacleRecords: another store does not have all records yet.
	ObstacleRecords = "records"
	// ObstacleOwner: the node still owns a partition.
	ObstacleOwner = "owner"
	// ObstacleDirectory: the ensembles are not known.
	ObstacleDirectory = "directory"
)

// SetRetiring sets the nodes that are being retired. Their stores are replaced in all ensembles if spare stores exist. They
// hand over their partitions to nodes that are not being retired, once these have the records.
func (m *Manager) SetRetiring(nodes map[membership.NodeID]bool) {
	m.retiring.Store(&nodes)
}

func (m *Manager) isRetiring(node membership.NodeID) bool {
	nodes := m.retiring.Load()
	return nodes != nil && (*nodes)[node]
}

// canOwn reports whether a member is of a kind that owns partitions.
func (m *Manager) canOwn(member *membership.Member) bool {
	return member.Store || !m.settings.OwnersOnStores
}

// mayOwn reports whether a member may own partitions and is not being retired.
func (m *Manager) mayOwn(member *membership.Member) bool {
	return m.canOwn(member) && !m.isRetiring(member.ID)
}

// notRetiring returns the stores whose nodes are not being retired.
func (m *Manager) notRetiring(stores []membership.Member) []membership.Member {
	var kept []membership.Member
	for _, member := range stores {
		if !m.isRetiring(member.ID) {
			kept = append(kept, member)
		}
	}
	return kept
}

// followRetiring learns the ensembles that retiring nodes know: these change the ensembles of their partitions and then wait
// for a successor, which must know that it has the records. It runs on the control goroutine.
func (m *Manager) followRetiring(view *membership.View, now time.Time) {
	if m.local == nil || m.isRetiring(m.self) || m.followingRetiring || now.Before(m.nextFollow) {
		return
	}
	var retiring []membership.Member
	for _, member := range view.Live() {
		if m.isRetiring(member.ID) {
			retiring = append(retiring, member)
		}
	}
	if len(retiring) == 0 {
		return
	}
	m.followingRetiring = true
	m.start(
		func() {
			for _, member := range retiring {
				m.askPeer(m.ctx, member)
			}
		},
		func() {
			m.followingRetiring = false
			m.nextFollow = clock.Now().Add(followInterval)
			m.check(clock.Now())
		})
}

// IsDrained reports whether no ensemble needs the store of node and the node owns no partition, and otherwise why it is not
// drained. It first reads the current ensembles from the key-value service.
func (m *Manager) IsDrained(ctx context.Context, node membership.NodeID) (drained bool, obstacle string, err error) {
	if err := m.directory.load(ctx); err != nil {
		return false, "", err
	}
	if !m.directory.complete() {
		return false, ObstacleDirectory, nil
	}
	view := m.viewer.View()
	for _, ensemble := range m.directory.all() {
		for _, member := range ensemble.Members {
			switch {
			case member.Joining:
				return false, ObstacleRecords, nil
			case member.Node == string(node) && (m.hasSurplus(ensemble) || m.hasSpare(view, ensemble)):
				return false, ObstacleRecords, nil
			case member.Node == string(node):
				return false, ObstacleNoStore, nil
			}
		}
	}
	for _, ensemble := range m.directory.all() {
		if m.owns(ctx, view, node, ensemble.Partition) {
			return false, ObstacleOwner, nil
		}
	}
	return true, "", nil
}

// owns reports whether the node owns the partition, as far as it answers.
func (m *Manager) owns(ctx context.Context, view *membership.View, node membership.NodeID, partition PartitionID) bool {
	if node == m.self {
		_, present := m.ownership(partition)
		return present
	}
	return m.firstOwner(ctx, view, partition, []membership.NodeID{node}) == node
}
