package batch

import (
	"context"
	"slices"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/route"
)

// The partition for the unconfined jobs of a host keeps the placements of its confined ones. An edge cannot know all partitions with jobs
// of a host by itself: it may have missed the configuration under which a job was accepted. The partition's owner can, because no job
// is submitted to a confined partition before its placement is durable.

// applyPlacement records that a confined partition may have jobs of a host.
func (s *state) applyPlacement(placement *batchpb.Placement) error {
	if !s.hasPlacement(placement) {
		s.placements[placement.Host] = append(s.placements[placement.Host], placement)
	}
	return nil
}

func (s *state) hasPlacement(placement *batchpb.Placement) bool {
	return slices.ContainsFunc(s.placements[placement.GetHost()], func(known *batchpb.Placement) bool {
		return known.Partition == placement.GetPartition()
	})
}

// placementsOf returns the confined partitions that may have jobs of host, without those in asked.
func (p *partition) placementsOf(host string, asked []uint32) []*batchpb.Placement {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.state.unasked(host, asked)
}

func (s *state) unasked(host string, asked []uint32) []*batchpb.Placement {
	return slices.DeleteFunc(slices.Clone(s.placements[host]), func(placement *batchpb.Placement) bool {
		return slices.Contains(asked, placement.Partition)
	})
}

// place makes a placement durable and looks for a job. Its response is given only after the ownership was proved.
func (p *partition) place(ctx context.Context, request *batchpb.PlaceRequest) (*batchpb.PlaceResponse, error) {
	since := p.elapsed()
	p.mutex.RLock()
	known := p.state.hasPlacement(request.Placement)
	p.mutex.RUnlock()
	if !known {
		if err := p.propose(ctx, newRecord(ledger.KindBatchPlaced, request.Placement)); err != nil {
			return nil, err
		}
		p.logger.Info().Str("host", request.Placement.GetHost()).Uint32("confined", request.Placement.GetPartition()).Msg("partition_placed")
	}
	if err := p.confirm(ctx, since); err != nil {
		return nil, err
	}
	p.mutex.RLock()
	found := p.state.jobs[request.JobId] != nil
	p.mutex.RUnlock()
	return &batchpb.PlaceResponse{Found: found, Placements: p.placementsOf(request.Placement.GetHost(), nil)}, nil
}

// checkPlacements rejects a submission whose job another partition may have that its sender has not asked. The mutex is held.
func (p *partition) checkPlacements(request *batchpb.SubmitRequest) (*batchpb.SubmitResponse, error) {
	unasked := p.state.unasked(route.HostName(request.Submission.Host), append(slices.Clone(request.Asked), uint32(p.id)))
	switch {
	case len(unasked) == 0:
		return nil, nil
	case !request.FollowsPlacements:
		return nil, outcome.New(outcome.NotRun, outcome.ReasonNoHome, "another partition may have the job").After(retryAfterOwner)
	default:
		return &batchpb.SubmitResponse{Placements: unasked, Settling: p.service.confinementChanged()}, nil
	}
}
