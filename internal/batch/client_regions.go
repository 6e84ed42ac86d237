package batch

import (
	"context"
	"math"
	"slices"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
)

// settledTimeout is how long a submission waits for partitions that may have its job but need not answer, since homes have not changed
// recently.
const settledTimeout = 350 * time.Millisecond

// unconfinedPartition returns the partition for the jobs of host that are not confined, whose owner knows the host's confined ones.
func (c *Client) unconfinedPartition(host string) uint32 { return uint32(c.locator.PartitionOf(host)) }

// partitions returns the partitions that may contain jobs of host as far as this node knows: the one for jobs that are not confined,
// and those in the host's homes, of which a deployment that confines no jobs has none.
func (c *Client) partitions(host string) []uint32 {
	found := []uint32{c.unconfinedPartition(host)}
	for _, partition := range c.homes.ConfinedPartitions(route.HostName(host)) {
		found = append(found, uint32(partition))
	}
	return found
}

// newPlacement returns the placement of a submission in a confined partition.
func (c *Client) newPlacement(submission *batchpb.Submission, partition ledger.PartitionID) *batchpb.Placement {
	// A partition that was just found to be durable is known.
	ensemble, _ := c.homes.DescribePartition(partition)
	return &batchpb.Placement{Host: route.HostName(submission.Host), Partition: uint32(partition), Ensemble: ensemble}
}

// learnPlacements lets this node find the partitions of placements, and returns them.
func (c *Client) learnPlacements(placements []*batchpb.Placement) []uint32 {
	var partitions []uint32
	for _, placement := range placements {
		partitions = append(partitions, placement.Partition)
		if err := c.homes.LearnPartition(placement.Ensemble); err != nil {
			c.logger.Warn().Uint32(logging.FieldPartition, placement.Partition).Err(err).Msg("placement_not_learnt")
		}
	}
	return partitions
}

// target returns the partition for a submission whose data may be stored in regions only.
func (c *Client) target(submission *batchpb.Submission, regions region.Set) (uint32, error) {
	if !regions.Limited() {
		return c.unconfinedPartition(submission.Host), nil
	}
	within, err := c.homes.ConfinedPartition(route.HostName(submission.Host), regions)
	return uint32(within), err
}

// acceptedElsewhere reports whether another partition than the target has the job, and which partitions were asked for it. A
// submission to a confined partition is placed first.
func (c *Client) acceptedElsewhere(ctx context.Context, submission *batchpb.Submission, target uint32) (accepted bool, asked []uint32, err error) {
	settling := c.homes.ConfinementChanged()
	var others []uint32
	if ledger.IsConfined(ledger.PartitionID(target)) {
		placed, err := c.place(ctx, submission, ledger.PartitionID(target), settling)
		if err != nil || placed.GetFound() {
			return placed.GetFound(), nil, err
		}
		others = c.learnPlacements(placed.GetPlacements())
	}
	if settling {
		// Records of older builds have no placements.
		others = append(others, c.partitions(submission.Host)...)
	}
	unconfined := c.unconfinedPartition(submission.Host)
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(other uint32) bool { return other == target || other == unconfined })
	accepted, err = c.askForJob(ctx, submission, others, settling)
	return accepted, others, err
}

// place makes the placement of a submission known to the owner of the host's unconfined partition, and asks it for the job. Once the
// placement is known there, the owner need not answer unless homes have changed recently; the response is nil then.
func (c *Client) place(ctx context.Context, submission *batchpb.Submission, target ledger.PartitionID, settling bool) (*batchpb.PlaceResponse, error) {
	request := &batchpb.PlaceRequest{
		Partition: c.unconfinedPartition(submission.Host), Placement: c.newPlacement(submission, target), JobId: submission.JobId,
	}
	key := placementKey{keptBy: request.Partition, host: request.Placement.Host, partition: request.Placement.Partition}
	required := settling || !c.placed.has(key)
	response := &batchpb.PlaceResponse{}
	err := c.call(ctx, methodPlace, request, response, waitFor(required), tryTimeout)
	switch {
	case err == nil:
		c.placed.add(key)
		return response, nil
	case required && !isUnknownMethod(err):
		// Nothing was started. A job must not be where nobody looks for it.
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the job's partition could not be placed").After(retryAfterOwner)
	default:
		c.logger.Info().Str(logging.FieldJob, submission.JobId).Err(err).Msg("placement_not_confirmed")
		return nil, nil
	}
}

// isUnknownMethod reports whether the owner is of an older build, which keeps no placements.
func isUnknownMethod(err error) bool { return outcome.As(err).Reason == outcome.ReasonNotFound }

// waitFor returns how long to wait for partitions that may have a job.
func waitFor(required bool) time.Duration {
	if required {
		return readTimeout
	}
	return settledTimeout
}

// askForJob reports whether one of the partitions has the job. All must answer if required is set.
func (c *Client) askForJob(ctx context.Context, submission *batchpb.Submission, partitions []uint32, required bool) (bool, error) {
	if len(partitions) == 0 {
		return false, nil
	}
	response, err := askAll(ctx, partitions, func(ctx context.Context, partition uint32) (*batchpb.ReadResponse, error) {
		request := &batchpb.ReadRequest{Partition: partition, JobId: submission.JobId, Since: math.MaxUint32, Host: route.HostName(submission.Host)}
		response := &batchpb.ReadResponse{}
		return response, c.call(ctx, methodRead, request, response, waitFor(required), tryTimeout)
	})
	switch {
	case err != nil && required:
		// Nothing was started. Whether the other partition has the job is unknown, and it must not be in two places.
		return false, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "a former home of the job does not answer").After(retryAfterOwner)
	case err != nil:
		c.logger.Info().Str(logging.FieldJob, submission.JobId).Err(err).Msg("former_home_unanswered")
		return false, nil
	default:
		return response.Found, nil
	}
}

// searchResponse is an answer that tells whether its partition has the requested object, and otherwise which others may have it.
type searchResponse interface {
	GetFound() bool
	GetPlacements() []*batchpb.Placement
}

// search asks all partitions that may have an object of host: those that this node knows, and those that the asked ones name. It returns an
// answer without a find only if all of them answered.
func search[Response searchResponse](
	ctx context.Context, c *Client, host string, ask func(ctx context.Context, partition uint32) (Response, error),
) (Response, error) {
	var asked []uint32
	next := c.partitions(host)
	for {
		response, err := askAll(ctx, next, ask)
		if err != nil || response.GetFound() {
			return response, err
		}
		asked = append(asked, next...)
		next = slices.DeleteFunc(c.learnPlacements(response.GetPlacements()), func(partition uint32) bool { return slices.Contains(asked, partition) })
		if len(next) == 0 {
			return response, nil
		}
	}
}

// askAll asks all partitions concurrently and returns the first answer that found something. If none did, it returns the one with the
// placements only if all partitions answered, otherwise one of the errors.
func askAll[Response searchResponse](
	ctx context.Context, partitions []uint32, ask func(ctx context.Context, partition uint32) (Response, error),
) (Response, error) {
	if len(partitions) == 1 {
		return ask(ctx, partitions[0])
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		response Response
		err      error
	}
	answers := make(chan answer, len(partitions))
	for _, partition := range partitions {
		go func() {
			response, err := ask(ctx, partition)
			answers <- answer{response, err}
		}()
	}
	var last answer
	for range partitions {
		next := <-answers
		if next.err == nil && next.response.GetFound() {
			return next.response, nil
		}
		if last.err == nil && (next.err != nil || len(last.response.GetPlacements()) == 0) {
			last = next
		}
	}
	return last.response, last.err
}
