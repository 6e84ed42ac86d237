package ledger

import (
	"time"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
)

// A planned change of an ensemble gives up no copy before its successor has all records, so that at any time as many disks
// may be lost as without the change. A spare store first learns the log beside the ensemble and then becomes an additional
// member, with a larger write quorum. Once it is a full member, a retiring one is removed, or the write quorum of an ensemble
// that was short of members is lowered to the wanted one.

// plannedChange returns the next ensemble of a planned change, if one is due. While the ensemble is not whole, nothing is
// planned: repairs come first.
func (m *Manager) plannedChange(
	ensemble protocol.Ensemble, control *partitionControl, view *membership.View, now time.Time,
) (protocol.Ensemble, bool) {
	whole := control.ownership.isWhole(ensemble)
	switch {
	case !m.hasSurplus(ensemble) && !m.hasRaisedQuorum(ensemble):
		return m.extension(ensemble, control, view, whole, now)
	case !whole:
		return protocol.Ensemble{}, false
	case m.hasSurplus(ensemble):
		return ensemble.Remove(m.surplusMember(ensemble).Store)
	default:
		return ensemble.LowerWriteQuorum()
	}
}

// extension returns the ensemble with the learner as an additional member, once that has caught up, if a member is retiring
// or the ensemble is short of members. Before that it chooses the learner.
func (m *Manager) extension(
	ensemble protocol.Ensemble, control *partitionControl, view *membership.View, whole bool, now time.Time,
) (protocol.Ensemble, bool) {
	ownership := control.ownership
	learner, learning := ownership.learner()
	control.trackLearner(learner, learning, m.timing.Replace, now)
	spare, found := m.spareStore(view, ensemble, control)
	wanted := m.isShort(ensemble) || (m.hasRetiringMember(ensemble) && !m.isRetiring(spare.ID))
	if !wanted || !found {
		if learning {
			m.background(ownership.stopLearning)
		}
		return protocol.Ensemble{}, false
	}
	chosen := memberOf(spare)
	switch {
	case !learning || learner.Member.Store != chosen.Store:
		m.background(func() { ownership.learn(chosen) })
	case whole && learner.CaughtUp && learner.Failures == 0:
		return ensemble.Extend(chosen)
	}
	return protocol.Ensemble{}, false
}

// trackLearner records a learner that has not responded for the given time as removed, so that another one is preferred.
func (c *partitionControl) trackLearner(learner protocol.Holding, learning bool, longest time.Duration, now time.Time) {
	switch {
	case !learning || learner.Failures == 0:
		c.learnerMissingSince = time.Time{}
	case c.learnerMissingSince.IsZero():
		c.learnerMissingSince = now
	case now.Sub(c.learnerMissingSince) >= longest:
		c.removedAt[learner.Member.Store] = now
	}
}

// hasSurplus reports whether the ensemble has more members than wanted: a planned change is not complete.
func (m *Manager) hasSurplus(ensemble protocol.Ensemble) bool {
	fixed, _ := m.directory.fixed()
	return len(ensemble.Members) > fixed.replicas
}

// isShort reports whether the ensemble has fewer members than wanted.
func (m *Manager) isShort(ensemble protocol.Ensemble) bool {
	fixed, _ := m.directory.fixed()
	return len(ensemble.Members) < fixed.replicas
}

// hasRaisedQuorum reports whether the ensemble's write quorum is larger than wanted for its size.
func (m *Manager) hasRaisedQuorum(ensemble protocol.Ensemble) bool {
	fixed, _ := m.directory.fixed()
	return ensemble.WriteQuorum > protocol.WriteQuorumOf(len(ensemble.Members), fixed.writeQuorum)
}

func (m *Manager) hasRetiringMember(ensemble protocol.Ensemble) bool {
	for _, member := range ensemble.Members {
		if m.isRetiring(membership.NodeID(member.Node)) {
			return true
		}
	}
	return false
}

// surplusMember returns the member to remove from an ensemble with one more than wanted: a retiring one, or the one added
// last if the request to retire was withdrawn.
func (m *Manager) surplusMember(ensemble protocol.Ensemble) protocol.Member {
	for _, member := range ensemble.Members {
		if m.isRetiring(membership.NodeID(member.Node)) {
			return member
		}
	}
	return ensemble.Members[len(ensemble.Members)-1]
}
