package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
)

// removedStoreCooldown is how long a store that was removed from an ensemble because it did not respond is added to it
// again only if there is no other. It exceeds the duration of most network partitions and restarts.
const removedStoreCooldown = 30 * time.Second

// maintain changes the partition's ensemble if a member's disk is lost or the ensemble has too few members. It runs on
// the control goroutine of the owner, or of a node that is becoming the owner. Conflicts between several such nodes are
// resolved by compare-and-swap in the key-value service, or by the members if the setting MembersDecide is on.
func (m *Manager) maintain(partition PartitionID, control *partitionControl, view *membership.View, now time.Time) {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return
	}
	m.publish(partition, control, ensemble, now)
	if control.changing || now.Before(control.nextChange) {
		return
	}
	if ownership := control.ownership; ownership != nil && ownership.view.Load().ensemble.Version < ensemble.Version {
		m.background(func() { ownership.adopt(ensemble) })
		return
	}
	next, due := m.nextEnsemble(ensemble, control, view, now)
	switch {
	case !due:
	case m.settings.MembersDecide:
		m.proposeEnsemble(control, next, now)
	default:
		m.changeEnsemble(partition, control, next)
	}
}

// nextEnsemble returns the ensemble to change to, if a change is due. Lost members come first, then joining members that
// have caught up, and planned changes last.
func (m *Manager) nextEnsemble(
	ensemble protocol.Ensemble, control *partitionControl, view *membership.View, now time.Time,
) (protocol.Ensemble, bool) {
	if control.ownership == nil {
		return protocol.Ensemble{}, false
	}
	control.trackRemoved(ensemble, now)
	if next, due := m.withoutLost(ensemble, control, view, now); due {
		return next, true
	}
	if next, due := promotion(ensemble, control.ownership); due {
		return next, true
	}
	return m.plannedChange(ensemble, control, view, now)
}

// withoutLost returns the ensemble in which a lost member is replaced, or removed if there is one member more than wanted.
func (m *Manager) withoutLost(
	ensemble protocol.Ensemble, control *partitionControl, view *membership.View, now time.Time,
) (protocol.Ensemble, bool) {
	spare, found := m.spareStore(view, ensemble, control)
	for _, member := range ensemble.Members {
		if !m.isLost(member, control, view, now) {
			continue
		}
		var next protocol.Ensemble
		var allowed bool
		switch {
		case m.hasSurplus(ensemble):
			next, allowed = ensemble.Remove(member.Store)
		case found:
			next, allowed = ensemble.Replace(member.Store, memberOf(m.spareFor(view, ensemble, member, spare)))
		}
		if allowed {
			return next, true
		}
	}
	return protocol.Ensemble{}, false
}

// promotion returns the ensemble in which a joining member that has caught up is a full one, if there is one.
func promotion(ensemble protocol.Ensemble, ownership *ownership) (protocol.Ensemble, bool) {
	if ownership.view.Load().ensemble.Version != ensemble.Version {
		return protocol.Ensemble{}, false
	}
	for _, holding := range ownership.view.Load().holdings {
		if holding.CaughtUp && !holding.Learner {
			return ensemble.Promote(holding.Member.Store)
		}
	}
	return protocol.Ensemble{}, false
}

// isLost reports whether the member's records count as lost: at once if its node is alive with another store, and after
// Timing.Replace if the node is gone or its store does not respond to the owner.
func (m *Manager) isLost(member protocol.Member, control *partitionControl, view *membership.View, now time.Time) bool {
	node, found := view.Find(membership.NodeID(member.Node))
	alive := found && (node.State == membership.Alive || node.State == membership.Suspect || node.State == membership.Leaving)
	if alive && node.StoreIncarnation != "" && node.StoreIncarnation != string(member.Store) {
		return true
	}
	if alive && control.ownership.responds(member.Store) {
		delete(control.missingSince, member.Store)
		return false
	}
	since, noted := control.missingSince[member.Store]
	if !noted {
		control.missingSince[member.Store] = now
		return false
	}
	return now.Sub(since) >= m.timing.Replace
}

// spareStore returns the best live store that is not a member, preferring zones with few members.
func (m *Manager) spareStore(view *membership.View, ensemble protocol.Ensemble, control *partitionControl) (membership.Member, bool) {
	taken := map[string]int{}
	nodes := map[string]bool{}
	for _, member := range ensemble.Members {
		node, found := view.Find(membership.NodeID(member.Node))
		if found && node.StoreIncarnation == string(member.Store) {
			taken[member.Zone]++
			nodes[member.Node] = true
		}
	}
	var candidates []membership.Member
	for _, candidate := range m.storesFor(ensemble.Partition, view) {
		if _, present := ensemble.Find(protocol.StoreID(candidate.StoreIncarnation)); !present && !nodes[string(candidate.ID)] {
			candidates = append(candidates, candidate)
		}
	}
	chosen := chooseStores(control.likelyToRespond(candidates), ensemble.Partition, 1, taken)
	if len(chosen) == 0 {
		return membership.Member{}, false
	}
	return chosen[0], true
}

// hasSpare reports whether a live store that is not a member and not being retired may join the ensemble.
func (m *Manager) hasSpare(view *membership.View, ensemble protocol.Ensemble) bool {
	for _, candidate := range m.notRetiring(m.storesFor(ensemble.Partition, view)) {
		if _, present := ensemble.Find(protocol.StoreID(candidate.StoreIncarnation)); !present {
			return true
		}
	}
	return false
}

// trackRemoved records the stores that were removed from the ensemble because they did not respond, and forgets those
// removed longer than removedStoreCooldown ago.
func (c *partitionControl) trackRemoved(ensemble protocol.Ensemble, now time.Time) {
	for store := range c.missingSince {
		if _, member := ensemble.Find(store); !member {
			delete(c.missingSince, store)
			c.removedAt[store] = now
		}
	}
	for store, left := range c.removedAt {
		if now.Sub(left) > removedStoreCooldown {
			delete(c.removedAt, store)
		}
	}
}

// likelyToRespond returns the candidates without those that are suspected to be dead or were recently removed from the
// ensemble because they did not respond; all candidates if no others remain. Otherwise, while a zone is cut off, its
// stores would replace one another in turn, and the partition would lack members for as long.
func (c *partitionControl) likelyToRespond(candidates []membership.Member) []membership.Member {
	var likely []membership.Member
	for _, candidate := range candidates {
		_, removed := c.removedAt[protocol.StoreID(candidate.StoreIncarnation)]
		if !removed && candidate.State == membership.Alive {
			likely = append(likely, candidate)
		}
	}
	if len(likely) == 0 {
		return candidates
	}
	return likely
}

// spareFor returns the replacement for a lost member: the member's own node if it has a new disk, otherwise the spare.
func (m *Manager) spareFor(view *membership.View, ensemble protocol.Ensemble, lost protocol.Member, spare membership.Member) membership.Member {
	for _, candidate := range m.storesFor(ensemble.Partition, view) {
		_, present := ensemble.Find(protocol.StoreID(candidate.StoreIncarnation))
		if string(candidate.ID) == lost.Node && !present {
			return candidate
		}
	}
	return spare
}

// changeEnsemble writes the change to the key-value service. The next check makes the owner
// prepare again under the new version.
func (m *Manager) changeEnsemble(partition PartitionID, control *partitionControl, next protocol.Ensemble) {
	control.changing = true
	var changed bool
	var err error
	m.start(
		func() {
			ctx, cancel := context.WithTimeout(m.ctx, directoryTimeout)
			defer cancel()
			changed, err = m.directory.change(ctx, next)
		},
		func() {
			control.changing = false
			if !changed {
				// The service may be down, or another node's change came first. Until the change is made, the loss of
				// another disk may lose records, so the delay is short.
				control.nextChange = clock.Now().Add(m.timing.ChangeRetry/2 + rand.N(m.timing.ChangeRetry))
			}
			event := m.logger.Info()
			if err != nil {
				event = m.logger.Warn().Err(err)
			}
			event.Uint32(logging.FieldPartition, uint32(partition)).Uint64(fieldVersion, next.Version).Bool("changed", changed).Msg("ensemble_change")
			m.check(clock.Now())
		})
}
