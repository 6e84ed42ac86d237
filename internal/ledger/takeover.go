package ledger

import "time"

// maxTurns bounds the waits of nodes that stand behind others in taking over a partition.
const maxTurns = 4

// ownerSilent says that this node's store, which has copies of the partition's records, has had no message of its owner for too long. What
// this node knows of the ensemble may be old, so a store that ever had a message of an owner counts. The nodes' turns come one after the other.
func (m *Manager) ownerSilent(partition PartitionID, control *partitionControl, now time.Time) bool {
	if m.timing.Silence == 0 || m.local == nil || control.ownership != nil || !m.MayHold(partition, m.zone) {
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
	return now.Sub(last) >= m.timing.Silence+time.Duration(m.turn(partition))*m.timing.Check
}

// isMember says that the local store is a full member of the partition's ensemble, as far as this node knows.
func (m *Manager) isMember(partition PartitionID) bool {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return false
	}
	own, found := ensemble.Find(m.local.ID())
	return found && !own.Joining
}

// turn is the number of live nodes with a store that stand before this one.
func (m *Manager) turn(partition PartitionID) int {
	before := 0
	for _, member := range m.placementOf(partition).stores(storesOf(m.viewer.View())) {
		if rank(partition, string(member.ID)) > rank(partition, string(m.self)) {
			before++
		}
	}
	return min(before, maxTurns)
}
