package ledger

import (
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// gathering says that this node, which has just started, does not see all members of a partition's ensemble alive yet. After a loss of all
// power each node sees itself only at first, prefers itself for all partitions, and gets neither an answer nor an error from members that are not up:
// the attempt would last as long as an answer is waited for, and the next one would take the partition from whoever owns it then.
func (m *Manager) gathering(partition PartitionID, view *membership.View, now time.Time) bool {
	if now.Sub(m.started) >= m.timing.Gather {
		return false
	}
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return false
	}
	for _, member := range ensemble.Members {
		seen, found := view.Find(membership.NodeID(member.Node))
		if !member.Joining && (!found || seen.State != membership.Alive) {
			return true
		}
	}
	return false
}
