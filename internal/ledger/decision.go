package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/logging"
)

// With the setting MembersDecide, the members of an ensemble decide on its successor under the owner's ballot. The
// key-value service then only holds a copy, from which nodes that know no ensemble find the members. The copy may be
// out of date, since members answer with a newer ensemble if they know one.

// proposeEnsemble proposes next to the current members. It runs on the control goroutine.
func (m *Manager) proposeEnsemble(control *partitionControl, next protocol.Ensemble, now time.Time) {
	if !control.ownership.reachesQuorum() {
		// Nothing can be decided without a quorum, but the local store would accept the replacement of members that
		// this node cannot reach, and a later owner would have to complete that proposal. If another disk is lost
		// meanwhile, too few stores with the records are left.
		return
	}
	control.nextChange = now.Add(m.timing.ChangeRetry)
	ownership := control.ownership
	m.background(func() { ownership.proposeEnsemble(next) })
}

// learnDecision records a decided ensemble and schedules a check, in which the owner adopts it. It is called on an
// ownership's goroutine.
func (m *Manager) learnDecision(decided protocol.Ensemble) {
	m.directory.learn(decided)
	m.background(func() {
		m.post(func() {
			m.control(decided.Partition).nextChange = time.Time{}
			m.check(clock.Now())
		})
	})
}

// publish copies a decided ensemble to the key-value service if it is newer than the copy there. It runs on the
// owner's control goroutine and is retried until it succeeds.
func (m *Manager) publish(partition PartitionID, control *partitionControl, ensemble protocol.Ensemble, now time.Time) {
	if !m.settings.MembersDecide || control.publishing || now.Before(control.nextPublish) ||
		m.directory.publishedVersion(partition) >= ensemble.Version {
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
