package ledger

import (
	"time"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
)

// awaitingMembers reports whether this node has started within the last Timing.MemberWait and does not yet see all full
// members of the partition's ensemble alive. After a power loss of the whole cluster, each node at first sees only
// itself and prefers itself for all partitions, and gets neither an answer nor an error from members that are not up.
// An attempt would then last until its requests time out, and the next one would take the partition from the node that
// owns it by then.
func (m *Manager) awaitingMembers(partition PartitionID, view *membership.View, now time.Time) bool {
	if now.Sub(m.started) >= m.timing.MemberWait {
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

// holderWaits is the number of times Timing.MemberWait for which a started node that lacks a partition's records waits to
// see the nodes that have them.
const holderWaits = 3

// awaitingHolders reports whether this node lacks the records of the partition and has started so recently that it may not
// see the nodes that have them yet.
func (m *Manager) awaitingHolders(partition PartitionID, now time.Time) bool {
	ensemble, known := m.directory.ensemble(partition)
	if !known || !m.settings.OwnersOnStores || now.Sub(m.started) >= holderWaits*m.timing.MemberWait {
		return false
	}
	return !holdsRecords(ensemble, m.local.ID())
}

// holdsRecords reports whether a store has the records of the ensemble's partition.
func holdsRecords(ensemble protocol.Ensemble, store protocol.StoreID) bool {
	held, found := ensemble.Find(store)
	return found && !held.Joining
}
