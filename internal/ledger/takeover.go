package ledger

import "time"

// maxTakeoverTurn bounds how many checks a node waits for higher-ranked nodes before it takes over a partition.
const maxTakeoverTurn = 4

// ownerSilent reports whether the local store has received no message from the partition's owner for Timing.OwnerSilence
// plus this node's takeover turn, and this node should therefore try to own the partition. The known ensemble may be
// out of date, so a store qualifies if it has ever received a message from an owner.
func (m *Manager) ownerSilent(partition PartitionID, control *partitionControl, now time.Time) bool {
	if m.timing.OwnerSilence == 0 || m.local == nil || control.ownership != nil || !m.MayHold(partition, m.zone) {
		return false
	}
	last := m.local.LastHeard(partition)
	if last.IsZero() && !m.isMember(partition) {
		return false
	}
	for _, later := range []time.Time{m.started, control.declined} {
		if later.After(last) {
			last = later
		}
	}
	return now.Sub(last) >= m.timing.OwnerSilence+time.Duration(m.takeoverTurn(partition))*m.timing.Check
}

// isMember reports whether the local store is a full member of the partition's newest known ensemble.
func (m *Manager) isMember(partition PartitionID) bool {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return false
	}
	return holdsRecords(ensemble, m.local.ID())
}

// takeoverTurn returns the number of live nodes with a store that rank above this one, at most maxTakeoverTurn.
func (m *Manager) takeoverTurn(partition PartitionID) int {
	higher := 0
	for _, member := range m.placementOf(partition).stores(storesOf(m.viewer.View())) {
		if rank(partition, string(member.ID)) > rank(partition, string(m.self)) {
			higher++
		}
	}
	return min(higher, maxTakeoverTurn)
}
