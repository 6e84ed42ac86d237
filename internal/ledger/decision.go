package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/logging"
)

// Ensembles that their own members decide on, under the owner's ballot. The key-value service then keeps a copy, from which nodes that
// know none find the members; it may be old, since members answer with what is newer.

// proposeEnsemble has the present members decide on next. It runs on the control goroutine.
func (m *Manager) proposeEnsemble(control *partitionControl, next protocol.Ensemble, now time.Time) {
	if !control.ownership.reachesQuorum() {
		// Nothing can be decided, but this node's own store would accept that members which it does not reach are replaced, and a later owner
		// has to bring that to its end: if another disk is lost meanwhile, too few are left with the records.
		return
	}
	control.nextChange = now.Add(m.timing.ChangeRetry)
	ownership := control.ownership
	m.background(func() { ownership.proposeEnsemble(next) })
}

// takeDecision learns a decided ensemble, which the next check has the owner adopt. It is called on an ownership's goroutine.
func (m *Manager) takeDecision(decided protocol.Ensemble) {
	m.directory.learn(decided)
	m.background(func() {
		m.post(func() {
			m.control(decided.Partition).nextChange = time.Time{}
			m.check(clock.Now())
		})
	})
}

// publish copies a decided ensemble to the key-value service, if it is newer than the copy there. It runs on the owner's control
// goroutine and is tried again until it succeeds.
func (m *Manager) publish(partition PartitionID, control *partitionControl, ensemble protocol.Ensemble, now time.Time) {
	if !m.settings.MembersDecide || control.publishing || now.Before(control.nextPublish) || m.directory.publishedVersion(partition) >= ensemble.Version {
		return
	}
	control.publishing = true
	var err error
	m.start(
		func() {
			ctx, cancel := context.WithTimeout(m.ctx, directoryTimeout)
			defer cancel()
			err = m.directory.publish(ctx, ensemble)
		},
		func() {
			control.publishing = false
			if err != nil {
				control.nextPublish = clock.Now().Add(m.timing.ChangeRetry + rand.N(m.timing.ChangeRetry))
				m.logger.Warn().Err(err).Uint32(logging.FieldPartition, uint32(partition)).Uint64(fieldVersion, ensemble.Version).Msg("ensemble_not_published")
			}
		})
}
