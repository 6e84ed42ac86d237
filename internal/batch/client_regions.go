package batch

import (
	"context"
	"math"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
)

// partitions returns all partitions that may contain jobs of host: the one for jobs that are not confined, and those in the host's
// homes, of which a deployment that confines no jobs has none. The configuration may have changed the homes since a job was
// accepted.
func (c *Client) partitions(host string) []uint32 {
	found := []uint32{uint32(c.locator.PartitionOf(host))}
	for _, partition := range c.homes.ConfinedPartitions(route.HostName(host)) {
		found = append(found, uint32(partition))
	}
	return found
}

// placeJob returns the partition for a submission whose data may be stored in regions only. accepted is true if another partition
// already accepted the job before the homes changed.
func (c *Client) placeJob(ctx context.Context, submission *batchpb.Submission, regions region.Set) (partition uint32, accepted bool, err error) {
	partition = uint32(c.locator.PartitionOf(submission.Host))
	if regions.Limited() {
		within, err := c.homes.ConfinedPartition(route.HostName(submission.Host), regions)
		if err != nil {
			return 0, false, err
		}
		partition = uint32(within)
	}
	accepted, err = c.acceptedElsewhere(ctx, submission, partition)
	return partition, accepted, err
}

// acceptedElsewhere reports whether another partition has the job. It asks only for a while after the homes have changed, when jobs
// may be resubmitted that were accepted before.
func (c *Client) acceptedElsewhere(ctx context.Context, submission *batchpb.Submission, partition uint32) (bool, error) {
	if !c.homes.ConfinementChanged() {
		return false, nil
	}
	var others []uint32
	for _, id := range c.partitions(submission.Host) {
		if id != partition {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return false, nil
	}
	response, err := searchPartitions(ctx, others, func(ctx context.Context, other uint32) (*batchpb.ReadResponse, error) {
		request := &batchpb.ReadRequest{Partition: other, JobId: submission.JobId, Since: math.MaxUint32}
		response := &batchpb.ReadResponse{}
		return response, c.call(ctx, methodRead, request, response, readTimeout, tryTimeout)
	})
	if err != nil {
		// Nothing was started. Whether the other partition has the job is unknown, and it must not be in two places.
		return false, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "a former home of the job does not answer").After(retryAfterOwner)
	}
	if response.Found {
		c.logger.Info().Str(logging.FieldJob, submission.JobId).Uint32(logging.FieldPartition, partition).Msg("job_accepted_elsewhere")
	}
	return response.Found, nil
}

// foundResponse is an answer that tells whether its partition has the requested object.
type foundResponse interface{ GetFound() bool }

// searchPartitions asks all partitions concurrently and returns the first answer that found something. If none did, it returns an
// answer without a find only if all partitions answered, otherwise one of the errors.
func searchPartitions[Response foundResponse](
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
		if last.err == nil {
			last = next
		}
	}
	return last.response, last.err
}
