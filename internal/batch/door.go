package batch

import (
	"context"
	"net/netip"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/unreached"
)

const (
	// submitTimeout, readTimeout and endTimeout bound the search for an owner that answers.
	submitTimeout = 2500 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	endTimeout    = 3 * time.Second
	// tryTimeout bounds each further try; the time that a read may wait is added.
	tryTimeout = 900 * time.Millisecond
	// firstTryTimeout bounds the first try of a submission, so that another way can still be in time. The owner takes the job once.
	firstTryTimeout = 350 * time.Millisecond
	// leastTry is the time that must be left for a further try: one that the end cuts off may have had an effect, though the tries before
	// it are known to have had none.
	leastTry = 20 * time.Millisecond
	// longestRetryWait bounds the wait between tries.
	longestRetryWait = 150 * time.Millisecond
	// retryAfterOwner is when a caller may come back after no owner answered.
	retryAfterOwner = 300 * time.Millisecond
)

// Door takes calls about jobs at an edge and brings them to the owner of the job's partition. It is safe for concurrent use.
type Door struct {
	locator   ledger.Locator
	homes     ledger.Homes
	caller    transport.Caller
	viewer    membership.Viewer
	unreached *unreached.Peers
	logger    zerolog.Logger
}

// NewDoor returns a Door and registers its method.
func NewDoor(locator ledger.Locator, homes ledger.Homes, caller transport.Caller, registrar transport.Registrar, viewer membership.Viewer, logger zerolog.Logger) *Door {
	door := &Door{
		locator: locator, homes: homes, caller: caller, viewer: viewer, unreached: unreached.NewPeers(unreachedFor),
		logger: logger.With().Str(logging.FieldSlice, "batch").Logger(),
	}
	transport.Handle(registrar, methodRelay, func() *batchpb.RelayRequest { return &batchpb.RelayRequest{} }, door.serveRelay)
	return door
}

// Caller is who calls about a job: jobs of one tenant do not exist for the others.
type Caller struct {
	// Host is the host that the call names.
	Host string
	// Tenant is the name of the caller's tenant; empty where no tenants are declared or the route is public.
	Tenant string
}

// jobName returns the name that a job has in the ledger; two tenants' jobs of one id have different names. A name without a slash is of
// no tenant.
func (c Caller) jobName(jobID string) string {
	if c.Tenant == "" {
		return url.PathEscape(jobID)
	}
	return url.PathEscape(c.Tenant) + "/" + jobID
}

// Submit has a job accepted whose data may be in regions alone; the submission's tenant is its caller's. The error is an *outcome.Error: NotRun means that no item will run
// on account of this call, with
// ReasonRateLimited where the job does not fit; Indeterminate promises nothing.
func (d *Door) Submit(ctx context.Context, submission *batchpb.Submission, matched *route.Route, regions region.Set) error {
	if err := Check(submission); err != nil {
		return err
	}
	submission.Route = matched.Name
	submission.JobId = Caller{Host: submission.Host, Tenant: submission.Tenant}.jobName(submission.JobId)
	partition, accepted, err := d.place(ctx, submission, regions)
	if err != nil {
		d.logger.Info().Str(logging.FieldJob, submission.JobId).Stringer("regions", regions).Err(err).Msg("job_not_placed")
		return err
	}
	if accepted {
		return nil
	}
	request := &batchpb.SubmitRequest{Partition: partition, Submission: submission, MaxWaitingTokens: matched.MaxWaitingTokens}
	response := &batchpb.SubmitResponse{}
	if err := d.call(ctx, methodSubmit, request, response, submitTimeout, tryTimeout); err != nil {
		d.logger.Info().Str(logging.FieldJob, submission.JobId).Err(err).Msg("job_not_accepted")
		return err
	}
	if response.OverQuota {
		return outcome.New(outcome.NotRun, outcome.ReasonRateLimited, "too many tokens wait").After(retryAfterFull)
	}
	return nil
}

// Read returns the results of a job from a position on; it waits up to wait for the first.
func (d *Door) Read(ctx context.Context, caller Caller, jobID string, since uint32, wait time.Duration) (*batchpb.ReadResponse, error) {
	return search(ctx, d.partitions(caller.Host), func(ctx context.Context, partition uint32) (*batchpb.ReadResponse, error) {
		request := &batchpb.ReadRequest{Partition: partition, JobId: caller.jobName(jobID), Since: since, WaitMicros: uint64(wait.Microseconds())}
		response := &batchpb.ReadResponse{}
		return response, d.call(ctx, methodRead, request, response, readTimeout+wait, tryTimeout+wait)
	})
}

// Body returns the body of an item that is not listed.
func (d *Door) Body(ctx context.Context, caller Caller, jobID, itemID string) (*batchpb.BodyResponse, error) {
	return search(ctx, d.partitions(caller.Host), func(ctx context.Context, partition uint32) (*batchpb.BodyResponse, error) {
		request := &batchpb.BodyRequest{Partition: partition, JobId: caller.jobName(jobID), ItemId: itemID}
		response := &batchpb.BodyResponse{}
		return response, d.call(ctx, methodBody, request, response, readTimeout, tryTimeout)
	})
}

// End ends a job.
func (d *Door) End(ctx context.Context, caller Caller, jobID string) (*batchpb.EndResponse, error) {
	return search(ctx, d.partitions(caller.Host), func(ctx context.Context, partition uint32) (*batchpb.EndResponse, error) {
		request := &batchpb.EndRequest{Partition: partition, JobId: caller.jobName(jobID)}
		response := &batchpb.EndResponse{}
		return response, d.call(ctx, methodEnd, request, response, endTimeout, tryTimeout)
	})
}

// call brings request to the owner, and to another one while none answers; all requests can be served twice. The error is an
// *outcome.Error that is NotRun only where no try can have had an effect.
func (d *Door) call(ctx context.Context, method transport.Method, request partitionRequest, response proto.Message, longest, try time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	waits := platform.NewBackoffUpTo(longestRetryWait)
	mayHaveRun := false
	bound := try
	if method == methodSubmit {
		bound = firstTryTimeout
	}
	for {
		failure := d.try(ctx, method, request, response, bound)
		bound = try
		if failure == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || failure.Outcome != outcome.NotRun
		if !worthRetry(failure) {
			return failure
		}
		if !pause.Sleep(ctx, waits.Next()) || !timeFor(ctx, leastTry) {
			result := outcome.NotRun
			if mayHaveRun {
				result = outcome.Indeterminate
			}
			return outcome.Wrap(failure, result, outcome.ReasonUnavailable, "no owner of the partition answered").After(retryAfterOwner)
		}
	}
}

// timeFor says that ctx lasts that much longer.
func timeFor(ctx context.Context, least time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	return !bounded || time.Until(deadline) >= least
}

// try makes one try, through another edge where the owner did not answer this one a short while ago.
func (d *Door) try(ctx context.Context, method transport.Method, request partitionRequest, response proto.Message, longest time.Duration) *outcome.Error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	owner, failure := d.owner(ledger.PartitionID(request.GetPartition()))
	if failure != nil {
		return failure
	}
	if d.unreached.Recent(owner, clock.Now()) {
		if edge, found := d.otherEdge(ledger.PartitionID(request.GetPartition())); found {
			return failureOrNil(d.relay(ctx, edge, method, request, response))
		}
	}
	err := d.caller.Call(ctx, owner, method, request, response)
	if errorx.IsOfType(err, transport.KindNotSent) || errorx.IsOfType(err, transport.KindNoAnswer) {
		d.unreached.Note(owner, clock.Now())
	}
	return failureOrNil(err)
}

// owner returns the address of the partition's owner as far as it is known.
func (d *Door) owner(partition ledger.PartitionID) (netip.AddrPort, *outcome.Error) {
	address, known := d.locator.Owner(partition)
	if !known {
		return netip.AddrPort{}, errNotOwner()
	}
	owner, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonNotOwner, "owner's address")
	}
	return owner, nil
}

func failureOrNil(err error) *outcome.Error {
	if err == nil {
		return nil
	}
	return transport.OutcomeOf(err)
}

// worthRetry tells whether another try may end otherwise.
func worthRetry(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonUnavailable, outcome.ReasonDeadline, outcome.ReasonInternal:
		return true
	default:
		return false
	}
}
