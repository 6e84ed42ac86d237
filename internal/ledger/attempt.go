package ledger

import (
	"context"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/transport"
)

// attemptResult is how an attempt or ownership ended. number is the highest ballot number met.
type attemptResult struct {
	number uint64
	lost   protocol.Lost
}

// surveyResult is what the stores of an ensemble have promised.
type surveyResult struct {
	answers  int
	promised protocol.Ballot
	number   uint64
	ensemble protocol.Ensemble
}

// attempt asks the present owner to let go, takes a ballot above all promised ones and serves under it
// until it is lost.
func (m *Manager) attempt(partition PartitionID, ensemble protocol.Ensemble, number uint64, overdue bool) attemptResult {
	if newer, found := m.newerAtLocalStore(ensemble); found {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossEnsembleChanged, Ensemble: newer}}
	}
	survey := m.survey(ensemble)
	number = max(number, survey.number)
	if survey.ensemble.Version > ensemble.Version {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossEnsembleChanged, Ensemble: survey.ensemble}}
	}
	if survey.answers < ensemble.ReadQuorum() {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossTimeout}}
	}
	if !m.askRelease(partition, survey.promised, overdue) {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossDeclined}}
	}
	if m.ctx.Err() != nil {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossReleased}}
	}
	ballot := protocol.Ballot{Version: ensemble.Version, Number: number + 1, Owner: newOwnerName(m.self)}
	owner := protocol.NewOwner(ballot, ensemble, protocol.DefaultOwnerLimits())
	logger := m.logger.With().Uint32(logging.FieldPartition, uint32(partition)).Logger()
	ownership := newOwnership(m.ctx, partition, owner, m.stores, m.factory, m.takeDecision, m.timing, logger)
	m.setOwnership(partition, ownership)
	defer m.setOwnership(partition, nil)
	if m.leaving.Load() {
		ownership.cancel()
	}
	m.post(func() { m.control(partition).ownership = ownership })
	lost := ownership.run()
	return attemptResult{number: owner.Ballot().Number, lost: lost}
}

// newerAtLocalStore returns the ensemble that the local store has heard of, if it is newer. The members of an old one may be gone,
// and to wait for their answers takes long.
func (m *Manager) newerAtLocalStore(ensemble protocol.Ensemble) (protocol.Ensemble, bool) {
	if m.local == nil {
		return protocol.Ensemble{}, false
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.timing.Request)
	defer cancel()
	response, err := m.local.Survey(ctx, &ledgerpb.SurveyRequest{Partition: uint32(ensemble.Partition), Store: string(m.local.ID())})
	if err != nil || response.Status != ledgerpb.Status_STATUS_OK {
		return protocol.Ensemble{}, false
	}
	known := wire.ToEnsemble(response.Ensemble)
	return known, known.Version > ensemble.Version
}

// survey asks the full members what they have promised, until a read quorum has answered or one knows a newer ensemble.
func (m *Manager) survey(ensemble protocol.Ensemble) surveyResult {
	ctx, cancel := context.WithTimeout(m.ctx, m.timing.Request)
	defer cancel()
	answers := make(chan *ledgerpb.SurveyResponse, len(ensemble.Members))
	asked := 0
	for _, member := range ensemble.Members {
		if member.Joining {
			continue
		}
		asked++
		m.background(func() {
			response, err := m.stores.survey(ctx, member, &ledgerpb.SurveyRequest{
				Partition: uint32(ensemble.Partition), Store: string(member.Store),
			})
			if err != nil {
				response = nil
			}
			answers <- response
		})
	}
	var result surveyResult
	for range asked {
		var response *ledgerpb.SurveyResponse
		select {
		case response = <-answers:
		case <-ctx.Done():
			return result
		}
		result.take(response)
		if result.answers >= ensemble.ReadQuorum() || result.ensemble.Version > ensemble.Version {
			break
		}
	}
	return result
}

// take takes in the answer of one store. One that has lost its disk since it was a member has promised nothing, but knows its ensemble.
func (r *surveyResult) take(response *ledgerpb.SurveyResponse) {
	switch response.GetStatus() {
	case ledgerpb.Status_STATUS_OK:
		r.answers++
		promised := wire.ToBallot(response.Promised)
		r.number = max(r.number, promised.Number)
		if r.promised.Below(promised) {
			r.promised = promised
		}
	case ledgerpb.Status_STATUS_WRONG_STORE:
	default:
		return
	}
	if known := wire.ToEnsemble(response.GetEnsemble()); known.Version > r.ensemble.Version {
		r.ensemble = known
	}
}

// askRelease asks the owner of the highest promised ballot to finish its appends and let go. It returns false where
// the owner declines; without an answer the attempt goes on all the same.
func (m *Manager) askRelease(partition PartitionID, promised protocol.Ballot, overdue bool) bool {
	node := ownerNode(promised.Owner)
	if promised.Owner == "" || node == m.self {
		return true
	}
	member, found := m.viewer.View().Find(node)
	if !found {
		// A node that has just started knows few others yet; it should not take what they own.
		return clock.Since(m.started) >= m.timing.Formation
	}
	wait := m.timing.Release
	if overdue || member.State == membership.Dead || member.State == membership.Suspect {
		// It is asked all the same: a node that was paused or cut off holds all others dead for a while.
		wait = m.timing.SuspectRelease
	}
	request := &ledgerpb.ReleaseRequest{Partition: uint32(partition), Successor: string(m.self)}
	response, err := m.sendRelease(member.PeerAddress, request, wait)
	if errorx.IsOfType(err, transport.KindNotSent) && pause.Sleep(m.ctx, m.timing.Backoff) {
		// A connection that was refused a moment ago says nothing of a cut that has just healed.
		response, err = m.sendRelease(member.PeerAddress, request, wait)
	}
	if err != nil {
		m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Str(logging.FieldPeer, string(node)).Err(err).Msg("release_not_answered")
		return true
	}
	return response.Released
}

func (m *Manager) sendRelease(to netip.AddrPort, request *ledgerpb.ReleaseRequest, wait time.Duration) (*ledgerpb.ReleaseResponse, error) {
	ctx, cancel := context.WithTimeout(m.ctx, wait)
	defer cancel()
	response := &ledgerpb.ReleaseResponse{}
	return response, m.caller.Call(ctx, to, methodRelease, request, response)
}
