package job

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// forwardTimeout bounds a forwarded request with all its attempts.
	forwardTimeout = 20 * time.Second
	// forwardAttemptTimeout bounds one attempt.
	forwardAttemptTimeout = 12 * time.Second
	// ownerCheckInterval is how often a pending request checks whether the owner has changed.
	ownerCheckInterval = 250 * time.Millisecond
	// retryAfter is the retry delay suggested to the caller when no owner answered.
	retryAfter = 5 * time.Second
)

// forwarder sends requests to the owner of their partition, on this node or another.
// It is safe for concurrent use.
type forwarder struct {
	partitions *registry
	locator    ledger.Locator
	caller     transport.Caller
}

// forward has the partition's owner serve the request. It retries with jittered backoff
// while no owner is known, or the addressed node is not the owner, cannot be reached or
// cannot append, until ctx ends or forwardTimeout has passed. The error is an
// *outcome.Error. When the retries end without an answer, it is NotRun only if no attempt
// can have taken effect.
func forward[Request partitionRequest, Response proto.Message](
	ctx context.Context, f *forwarder, m method[Request, Response], request Request,
) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	retryBackoff := newBackoff()
	mayHaveRun := false
	for {
		response, err := forwardOnce(ctx, f, m, request)
		if err == nil {
			return response, nil
		}
		failure := transport.OutcomeOf(err)
		mayHaveRun = mayHaveRun || failure.Outcome != outcome.NotRun
		if !retryable(failure) {
			return response, failure
		}
		if !pause.Sleep(ctx, retryBackoff.NextBackOff()) {
			result := outcome.NotRun
			if mayHaveRun {
				result = outcome.Indeterminate
			}
			return response, outcome.
				Wrap(failure, result, outcome.ReasonUnavailable, "no owner of the partition answered").
				After(retryAfter)
		}
	}
}

// forwardOnce makes one attempt. It serves the request locally if this node is the owner.
func forwardOnce[Request partitionRequest, Response proto.Message](
	ctx context.Context, f *forwarder, m method[Request, Response], request Request,
) (Response, error) {
	var none Response
	ctx, cancel := context.WithTimeout(ctx, forwardAttemptTimeout)
	defer cancel()
	if owned, err := f.partitions.find(request.GetPartition()); err == nil {
		return m.serve(owned, ctx, request)
	}
	address, known := f.locator.Owner(ledger.PartitionID(request.GetPartition()))
	if !known {
		return none, errNotOwner()
	}
	ownerAddress, err := netip.ParseAddrPort(address)
	if err != nil {
		return none, outcome.Wrap(err, outcome.NotRun, outcome.ReasonNotOwner, "owner's address")
	}
	f.watchOwner(ctx, cancel, ledger.PartitionID(request.GetPartition()), address)
	response := m.newResponse()
	if err := f.caller.Call(ctx, ownerAddress, m.name, request, response); err != nil {
		return none, err
	}
	return response, nil
}

// watchOwner calls cancel once the locator names another owner than the node at address,
// which may be paused or partitioned and leave the call pending for long. The watch ends
// with ctx.
func (f *forwarder) watchOwner(ctx context.Context, cancel func(), partition ledger.PartitionID, address string) {
	time.AfterFunc(ownerCheckInterval, func() {
		if ctx.Err() != nil {
			return
		}
		if current, known := f.locator.Owner(partition); known && current != address {
			cancel()
			return
		}
		f.watchOwner(ctx, cancel, partition, address)
	})
}

// retryable reports whether another attempt may succeed. Every request may safely be served
// twice.
func retryable(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonUnavailable, outcome.ReasonDeadline,
		outcome.ReasonCallerCancelled, outcome.ReasonInternal:
		return true
	default:
		return false
	}
}
