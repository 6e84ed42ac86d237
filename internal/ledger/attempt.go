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

// attemptResult is the outcome of an attempt or ownership.
type attemptResult struct {
	// number is the highest ballot number seen.
	number uint64
	lost   protocol.Lost
}

// surveyResult is the highest promise and the newest ensemble among the answers of an ensemble's stores.
type surveyResult struct {
	answers  int
	promised protocol.Ballot
	number   uint64
	ensemble protocol.Ensemble
}

// attempt asks the current owner to release the partition, takes a ballot above all promised ones and serves under it
// until it is lost.
func (m *Manager) attempt(partition PartitionID, ensemble protocol.Ensemble, number uint64, overdue bool) attemptResult {
	if newer, found := m.newerAtLocalStore(ensemble); found {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossEnsembleChanged, Ensemble: newer}}
	}
	survey, failure := m.surveyReleased(partition, ensemble, overdue)
	number = max(number, survey.number)
	if failure.Cause != "" {
		return attemptResult{number: number, lost: failure}
	}
	if m.ctx.Err() != nil {
		return attemptResult{number: number, lost: protocol.Lost{Cause: protocol.LossReleased}}
	}
	ballot := protocol.Ballot{Version: ensemble.Version, Number: number + 1, Owner: newOwnerName(m.self)}
	owner := protocol.NewOwner(ballot, ensemble, protocol.DefaultOwnerLimits())
	logger := m.logger.With().Uint32(logging.FieldPartition, uint32(partition)).Logger()
	ownership := newOwnership(m.ctx, partition, owner, m.stores, m.factory, m.learnDecision, m.timing, logger)
	m.setOwnership(partition, ownership)
	defer m.setOwnership(partition, nil)
	if m.leaving.Load() {
		ownership.cancel()
	}
	m.post(func() { m.control(partition).ownership = ownership })
	lost := ownership.run()
	return attemptResult{number: owner.Ballot().Number, lost: lost}
}

// surveyReleased surveys the stores and asks the owner that they have promised to release the partition. After an owner that
// does not answer it surveys them again, since another node may have taken the partition over meanwhile, and then asks that
// one. The cause of failure is empty if the partition may be taken over.
func (m *Manager) surveyReleased(partition PartitionID, ensemble protocol.Ensemble, overdue bool) (survey surveyResult, failure protocol.Lost) {
	// The zero ballot is that of a log which has had no owner.
	asked := protocol.Ballot{}
	for {
		survey = m.survey(ensemble)
		switch {
		case survey.ensemble.Version > ensemble.Version:
			return survey, protocol.Lost{Cause: protocol.LossEnsembleChanged, Ensemble: survey.ensemble}
		case survey.answers < ensemble.ReadQuorum():
			return survey, protocol.Lost{Cause: protocol.LossTimeout}
		case survey.promised == asked:
			return survey, protocol.Lost{}
		}
		asked = survey.promised
		switch m.askRelease(partition, asked, overdue) {
		case releaseGranted:
			return survey, protocol.Lost{}
		case releaseDeclined:
			return survey, protocol.Lost{Cause: protocol.LossDeclined}
		}
	}
}

// newerAtLocalStore returns the ensemble that the local store knows, if it is newer. The members of an outdated
// ensemble may be gone, and waiting for their answers would cost a timeout.
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

// survey asks the full members for their promises, until a read quorum has answered or a member knows a newer ensemble.
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
		result.add(response)
		if result.answers >= ensemble.ReadQuorum() || result.ensemble.Version > ensemble.Version {
			break
		}
	}
	return result
}

// add merges the answer of one store. A store that lost its disk after it became a member does not count as an answer,
// but may report a newer ensemble.
func (r *surveyResult) add(response *ledgerpb.SurveyResponse) {
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

// releaseAnswer is the answer of a partition's owner to the request to release it.
type releaseAnswer int

const (
	// releaseGranted: the partition has no owner.
	releaseGranted releaseAnswer = iota
	releaseDeclined
	releaseUnanswered
)

// askRelease asks the owner of the highest promised ballot to finish its appends and release the partition. It counts as
// declined if the owner's node is unknown and this node has only just started.
func (m *Manager) askRelease(partition PartitionID, promised protocol.Ballot, overdue bool) releaseAnswer {
	node := ownerNode(promised.Owner)
	if promised.Owner == "" || node == m.self {
		return releaseGranted
	}
	member, found := m.viewer.View().Find(node)
	switch {
	case !found && clock.Since(m.started) < m.timing.Formation:
		// A node that has just started knows few others yet and should not take over their partitions.
		return releaseDeclined
	case !found:
		return releaseGranted
	}
	wait := m.timing.Release
	if overdue || member.State == membership.Dead || member.State == membership.Suspect {
		// Ask it nevertheless: a node that was paused or partitioned considers all others dead for a while.
		wait = m.timing.SuspectRelease
	}
	request := &ledgerpb.ReleaseRequest{Partition: uint32(partition), Successor: string(m.self)}
	response, err := m.sendRelease(member.PeerAddress, request, wait)
	if errorx.IsOfType(err, transport.KindNotSent) && pause.Sleep(m.ctx, m.timing.Backoff) {
		// The connection may have failed because of a network partition that has just healed.
		response, err = m.sendRelease(member.PeerAddress, request, wait)
	}
	if err != nil {
		m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Str(logging.FieldPeer, string(node)).Err(err).Msg("release_not_answered")
		return releaseUnanswered
	}
	if !response.Released {
		return releaseDeclined
	}
	return releaseGranted
}

func (m *Manager) sendRelease(to netip.AddrPort, request *ledgerpb.ReleaseRequest, wait time.Duration) (*ledgerpb.ReleaseResponse, error) {
	ctx, cancel := context.WithTimeout(m.ctx, wait)
	defer cancel()
	response := &ledgerpb.ReleaseResponse{}
	return response, m.caller.Call(ctx, to, methodRelease, request, response)
}
