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

// partitions returns all partitions in which jobs of host may be: that of jobs which may be anywhere, and those of the host's homes, of which
// there are none in a deployment that confines no jobs. The configuration may have changed the homes since a job was accepted.
func (d *Door) partitions(host string) []uint32 {
	found := []uint32{uint32(d.locator.PartitionOf(host))}
	for _, partition := range d.homes.PartitionsWithin(route.HostName(host)) {
		found = append(found, uint32(partition))
	}
	return found
}

// place returns the partition that takes a submission whose data may be in regions alone. accepted says that the job is in another one,
// which took it before the homes changed.
func (d *Door) place(ctx context.Context, submission *batchpb.Submission, regions region.Set) (partition uint32, accepted bool, err error) {
	partition = uint32(d.locator.PartitionOf(submission.Host))
	if regions.Limited() {
		within, err := d.homes.PartitionWithin(route.HostName(submission.Host), regions)
		if err != nil {
			return 0, false, err
		}
		partition = uint32(within)
	}
	accepted, err = d.acceptedElsewhere(ctx, submission, partition)
	return partition, accepted, err
}

// acceptedElsewhere says that another partition has the job. It is asked only for a while after homes have changed, in which jobs come again
// that were accepted before.
func (d *Door) acceptedElsewhere(ctx context.Context, submission *batchpb.Submission, partition uint32) (bool, error) {
	if !d.homes.Settling() {
		return false, nil
	}
	var others []uint32
	for _, each := range d.partitions(submission.Host) {
		if each != partition {
			others = append(others, each)
		}
	}
	if len(others) == 0 {
		return false, nil
	}
	response, err := search(ctx, others, func(ctx context.Context, other uint32) (*batchpb.ReadResponse, error) {
		request := &batchpb.ReadRequest{Partition: other, JobId: submission.JobId, Since: math.MaxUint32}
		response := &batchpb.ReadResponse{}
		return response, d.call(ctx, methodRead, request, response, readTimeout, tryTimeout)
	})
	if err != nil {
		// Nothing was begun: whether the job is there is not known, and it must not be in two places.
		return false, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "a former home of the job does not answer").After(retryAfterOwner)
	}
	if response.Found {
		d.logger.Info().Str(logging.FieldJob, submission.JobId).Uint32(logging.FieldPartition, partition).Msg("job_accepted_elsewhere")
	}
	return response.Found, nil
}

// finding is an answer that says whether its partition has what was asked for.
type finding interface{ GetFound() bool }

// search asks all partitions at once and returns the first answer that found something. Only where all have answered that they have
// nothing is that the answer; else the error of one is.
func search[Response finding](ctx context.Context, partitions []uint32, ask func(ctx context.Context, partition uint32) (Response, error)) (Response, error) {
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
