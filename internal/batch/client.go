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
	// submitTimeout, readTimeout and endTimeout bound the whole call, including retries until an owner answers.
	submitTimeout = 2500 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	endTimeout    = 3 * time.Second
	// tryTimeout bounds each try but the first of a submission; for a read, the time that it may wait is added.
	tryTimeout = 900 * time.Millisecond
	// firstTryTimeout bounds the first try of a submission, so that a try by another path can still succeed in time. The owner
	// accepts the job only once.
	firstTryTimeout = 350 * time.Millisecond
	// minTryTime is the time that must be left for a further try. A try that the deadline cuts off may have had an effect, and would
	// hide that the tries before it are known to have had none.
	minTryTime = 20 * time.Millisecond
	// maxRetryWait bounds the wait between tries.
	maxRetryWait = 150 * time.Millisecond
	// retryAfterOwner is the retry time sent to a caller if no owner answered.
	retryAfterOwner = 300 * time.Millisecond
)

// Client receives calls about jobs at an edge and forwards them to the owner of the job's partition. It is safe for concurrent use.
type Client struct {
	locator   ledger.Locator
	homes     ledger.ConfinedLocator
	caller    transport.Caller
	viewer    membership.Viewer
	unreached *unreached.Peers
	placed    placedPartitions
	logger    zerolog.Logger
}

// NewClient returns a Client and registers its relay method.
func NewClient(
	locator ledger.Locator, homes ledger.ConfinedLocator, caller transport.Caller, registrar transport.Registrar, viewer membership.Viewer,
	logger zerolog.Logger,
) *Client {
	client := &Client{
		locator: locator, homes: homes, caller: caller, viewer: viewer, unreached: unreached.NewPeers(unreachableWindow),
		logger: logger.With().Str(logging.FieldSlice, "batch").Logger(),
	}
	transport.Handle(registrar, methodRelay, func() *batchpb.RelayRequest { return &batchpb.RelayRequest{} }, client.serveRelay)
	return client
}

// Caller identifies who calls about a job. The jobs of one tenant are invisible to all others.
type Caller struct {
	// Host is the host named in the call.
	Host string
	// Tenant is the name of the caller's tenant; empty if no tenants are declared or the route is public.
	Tenant string
}

// jobName returns the name of a job in the ledger. Jobs of two tenants with the same ID have different names. A name without a slash
// belongs to no tenant.
func (c Caller) jobName(jobID string) string {
	if c.Tenant == "" {
		return url.PathEscape(jobID)
	}
	return url.PathEscape(c.Tenant) + "/" + jobID
}

// Submit gets a job accepted whose data may be stored in regions only; the submission's tenant is that of its caller. The error is
// an *outcome.Error: NotRun means that no item will run because of this call, with ReasonRateLimited if the job exceeds the quota;
// with Indeterminate the job may or may not run.
func (c *Client) Submit(ctx context.Context, submission *batchpb.Submission, matched *route.Route, regions region.Set) error {
	if err := Check(submission); err != nil {
		return err
	}
	submission.Route = matched.Name
	submission.JobId = Caller{Host: submission.Host, Tenant: submission.Tenant}.jobName(submission.JobId)
	partition, err := c.target(submission, regions)
	if err != nil {
		c.logger.Info().Str(logging.FieldJob, submission.JobId).Stringer("regions", regions).Err(err).Msg("job_not_placed")
		return err
	}
	began := clock.Now()
	accepted, response, err := c.submitOnce(ctx, submission, partition, matched.MaxWaitingTokens)
	event := c.logger.Info().Str(logging.FieldJob, submission.JobId).Uint32(logging.FieldPartition, partition).Dur("took", clock.Since(began)).Err(err)
	switch {
	case err != nil:
		event.Msg("job_not_accepted")
		return err
	case accepted:
		event.Msg("job_accepted_elsewhere")
		return nil
	}
	event.Msg("job_submitted")
	if response.OverQuota {
		return outcome.New(outcome.NotRun, outcome.ReasonRateLimited, "too many tokens wait").After(retryAfterFull)
	}
	return nil
}

// submitOnce submits a job to its partition unless another partition has accepted it, which accepted reports.
func (c *Client) submitOnce(
	ctx context.Context, submission *batchpb.Submission, partition uint32, maxTokens int64,
) (accepted bool, response *batchpb.SubmitResponse, err error) {
	accepted, asked, err := c.acceptedElsewhere(ctx, submission, partition)
	if err != nil || accepted {
		return accepted, nil, err
	}
	for {
		request := &batchpb.SubmitRequest{
			Partition: partition, Submission: submission, MaxWaitingTokens: maxTokens, Asked: asked, FollowsPlacements: true,
		}
		response = &batchpb.SubmitResponse{}
		if err := c.call(ctx, methodSubmit, request, response, submitTimeout, tryTimeout); err != nil {
			return false, nil, err
		}
		if len(response.Placements) == 0 {
			return false, response, nil
		}
		unasked := c.learnPlacements(response.Placements)
		accepted, err := c.askForJob(ctx, submission, unasked, response.Settling || c.homes.ConfinementChanged())
		if err != nil || accepted {
			return accepted, nil, err
		}
		asked = append(asked, unasked...)
	}
}

// Read returns the results of a job from a position on; it waits for the first one for at most wait.
func (c *Client) Read(ctx context.Context, caller Caller, jobID string, since uint32, wait time.Duration) (*batchpb.ReadResponse, error) {
	return search(ctx, c, caller.Host, func(ctx context.Context, partition uint32) (*batchpb.ReadResponse, error) {
		request := &batchpb.ReadRequest{
			Partition: partition, JobId: caller.jobName(jobID), Since: since, WaitMicros: uint64(wait.Microseconds()), Host: route.HostName(caller.Host),
		}
		response := &batchpb.ReadResponse{}
		return response, c.call(ctx, methodRead, request, response, readTimeout+wait, tryTimeout+wait)
	})
}

// Body returns the body of an item that is not listed yet.
func (c *Client) Body(ctx context.Context, caller Caller, jobID, itemID string) (*batchpb.BodyResponse, error) {
	return search(ctx, c, caller.Host, func(ctx context.Context, partition uint32) (*batchpb.BodyResponse, error) {
		request := &batchpb.BodyRequest{Partition: partition, JobId: caller.jobName(jobID), ItemId: itemID, Host: route.HostName(caller.Host)}
		response := &batchpb.BodyResponse{}
		return response, c.call(ctx, methodBody, request, response, readTimeout, tryTimeout)
	})
}

// End ends a job.
func (c *Client) End(ctx context.Context, caller Caller, jobID string) (*batchpb.EndResponse, error) {
	return search(ctx, c, caller.Host, func(ctx context.Context, partition uint32) (*batchpb.EndResponse, error) {
		request := &batchpb.EndRequest{Partition: partition, JobId: caller.jobName(jobID), Host: route.HostName(caller.Host)}
		response := &batchpb.EndResponse{}
		return response, c.call(ctx, methodEnd, request, response, endTimeout, tryTimeout)
	})
}

// call sends request to the owner of its partition, and retries while no owner answers; all requests are idempotent. The error is an
// *outcome.Error that is NotRun only if no try can have had an effect.
func (c *Client) call(ctx context.Context, method transport.Method, request partitionRequest, response proto.Message, total, try time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, total)
	defer cancel()
	backoff := platform.NewBackoffUpTo(maxRetryWait)
	mayHaveRun := false
	timeout := try
	if method == methodSubmit {
		timeout = firstTryTimeout
	}
	for {
		failure := c.try(ctx, method, request, response, timeout)
		timeout = try
		if failure == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || failure.Outcome != outcome.NotRun
		if !retryable(failure) {
			return failure
		}
		if method == methodSubmit {
			c.logger.Info().Uint32(logging.FieldPartition, request.GetPartition()).Err(failure).Msg("submission_retried")
		}
		if !pause.Sleep(ctx, backoff.Next()) || !hasTimeLeft(ctx, minTryTime) {
			result := outcome.NotRun
			if mayHaveRun {
				result = outcome.Indeterminate
			}
			return outcome.Wrap(failure, result, outcome.ReasonUnavailable, "no owner of the partition answered").After(retryAfterOwner)
		}
	}
}

// hasTimeLeft reports whether ctx has at least that much time left before its deadline.
func hasTimeLeft(ctx context.Context, least time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	return !bounded || time.Until(deadline) >= least
}

// try makes a single try, through another edge if the owner recently did not answer this one.
func (c *Client) try(ctx context.Context, method transport.Method, request partitionRequest, response proto.Message, timeout time.Duration) *outcome.Error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	owner, failure := c.owner(ledger.PartitionID(request.GetPartition()))
	if failure != nil {
		return failure
	}
	if c.unreached.IsUnreached(owner, clock.Now()) {
		if edge, found := c.pickRelayEdge(ledger.PartitionID(request.GetPartition())); found {
			return failureOrNil(c.relay(ctx, edge, method, request, response))
		}
	}
	err := c.caller.Call(ctx, owner, method, request, response)
	if errorx.IsOfType(err, transport.KindNotSent) || errorx.IsOfType(err, transport.KindNoAnswer) {
		c.unreached.MarkUnreached(owner, clock.Now())
	}
	return failureOrNil(err)
}

// owner returns the address of the partition's owner as far as this node knows it.
func (c *Client) owner(partition ledger.PartitionID) (netip.AddrPort, *outcome.Error) {
	address, known := c.locator.Owner(partition)
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

// retryable reports whether another try may succeed.
func retryable(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonUnavailable, outcome.ReasonDeadline, outcome.ReasonInternal:
		return true
	default:
		return false
	}
}
