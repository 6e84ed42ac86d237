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

// silentFor is for how long a store that left an ensemble for want of answers comes into it again only where there is no other: longer than
// most cuts and restarts last.
const silentFor = 30 * time.Second

// maintain changes the partition's ensemble where a member's disk is gone or a member is missing. It
// runs on the control goroutine of the owner, or of a node that is becoming it; between several decides the compare-and-swap of
// the key-value service, or the members where the settings say so.
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
	if !due {
		next, due = promotion(ensemble, control.ownership)
	}
	switch {
	case !due:
	case m.settings.MembersDecide:
		m.proposeEnsemble(control, next, now)
	default:
		m.changeEnsemble(partition, control, next)
	}
}

// promotion returns the ensemble with a member that has caught up made a full one.
func promotion(ensemble protocol.Ensemble, ownership *ownership) (protocol.Ensemble, bool) {
	if ownership == nil || ownership.view.Load().ensemble.Version != ensemble.Version {
		return protocol.Ensemble{}, false
	}
	for _, holding := range ownership.view.Load().holdings {
		if holding.CaughtUp {
			return ensemble.Promote(holding.Member.Store)
		}
	}
	return protocol.Ensemble{}, false
}

// nextEnsemble returns the ensemble to change to, if a change is due.
func (m *Manager) nextEnsemble(ensemble protocol.Ensemble, control *partitionControl, view *membership.View, now time.Time) (protocol.Ensemble, bool) {
	fixed, _ := m.directory.fixed()
	if control.ownership == nil {
		return protocol.Ensemble{}, false
	}
	control.noteFormer(ensemble, now)
	spare, found := m.spareStore(view, ensemble, control)
	for _, member := range ensemble.Members {
		if !m.lostFor(member, control, view, now) || !found {
			continue
		}
		if next, allowed := ensemble.Replace(member.Store, memberOf(m.spareFor(view, ensemble, member, spare))); allowed {
			return next, true
		}
	}
	if found && len(ensemble.Members) < fixed.replicas {
		return ensemble.Grow(memberOf(spare), fixed.writeQuorum)
	}
	return protocol.Ensemble{}, false
}

// lostFor tells whether the member's disk is to be replaced: at once where its node retires or lives with another store,
// after a while where the node is gone or its store does not answer the owner.
func (m *Manager) lostFor(member protocol.Member, control *partitionControl, view *membership.View, now time.Time) bool {
	if m.isRetiring(membership.NodeID(member.Node)) {
		return true
	}
	node, found := view.Find(membership.NodeID(member.Node))
	alive := found && (node.State == membership.Alive || node.State == membership.Suspect || node.State == membership.Leaving)
	if alive && node.StoreIncarnation != "" && node.StoreIncarnation != string(member.Store) {
		return true
	}
	if alive && control.ownership.answers(member.Store) {
		delete(control.unwell, member.Store)
		return false
	}
	since, noted := control.unwell[member.Store]
	if !noted {
		control.unwell[member.Store] = now
		return false
	}
	return now.Sub(since) >= m.timing.Replace
}

// spareStore returns the best live store that is not a member, from a zone with few members.
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
	chosen := chooseStores(control.likelyToAnswer(candidates), ensemble.Partition, 1, taken)
	if len(chosen) == 0 {
		return membership.Member{}, false
	}
	return chosen[0], true
}

// noteFormer notes which stores left the ensemble for want of answers, and forgets it of those that left long ago.
func (c *partitionControl) noteFormer(ensemble protocol.Ensemble, now time.Time) {
	for store := range c.unwell {
		if _, member := ensemble.Find(store); !member {
			delete(c.unwell, store)
			c.silent[store] = now
		}
	}
	for store, left := range c.silent {
		if now.Sub(left) > silentFor {
			delete(c.silent, store)
		}
	}
}

// likelyToAnswer returns the candidates but for those that are suspected to be dead, or left the ensemble a short while ago for want of answers;
// all where no others are. With a zone that is cut off its stores would else come in for one another, and the partition would be short of members
// for as long.
func (c *partitionControl) likelyToAnswer(candidates []membership.Member) []membership.Member {
	var likely []membership.Member
	for _, candidate := range candidates {
		_, silent := c.silent[protocol.StoreID(candidate.StoreIncarnation)]
		if !silent && candidate.State == membership.Alive {
			likely = append(likely, candidate)
		}
	}
	if len(likely) == 0 {
		return candidates
	}
	return likely
}

// spareFor prefers the lost member's own node with its new disk to the spare.
func (m *Manager) spareFor(view *membership.View, ensemble protocol.Ensemble, lost protocol.Member, spare membership.Member) membership.Member {
	for _, candidate := range m.storesFor(ensemble.Partition, view) {
		_, present := ensemble.Find(protocol.StoreID(candidate.StoreIncarnation))
		if string(candidate.ID) == lost.Node && !present {
			return candidate
		}
	}
	return spare
}

// changeEnsemble makes the change in the key-value service. The next check makes the owner
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
				// The service may be down, or another node may have been first. Until the change is made a further lost disk may
				// be one too many, so the wait is short.
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
