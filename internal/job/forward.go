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
	// forwardTimeout bounds the search for an owner that answers.
	forwardTimeout = 20 * time.Second
	// forwardAttempt bounds one try.
	forwardAttempt = 12 * time.Second
	// ownerCheck is how often it is looked whether a request waits for a former owner.
	ownerCheck = 250 * time.Millisecond
	// retryAfter is when a caller may come back after the search failed.
	retryAfter = 5 * time.Second
)

// forwarder brings requests to the owner of their partition, here or on another
// node. It is safe for concurrent use.
type forwarder struct {
	partitions *registry
	locator    ledger.Locator
	caller     transport.Caller
}

// forward serves the request at the owner. It tries again with jittered waits while
// no owner is known or the one asked isn't it, cannot be reached or cannot append,
// until ctx ends or forwardTimeout is over. The error is an *outcome.Error; it is NotRun
// only if no try can have taken effect.
func forward[Request partitionRequest, Response proto.Message](
	ctx context.Context, f *forwarder, m method[Request, Response], request Request,
) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	wait := newBackOff()
	mayHaveRun := false
	for {
		response, err := attempt(ctx, f, m, request)
		if err == nil {
			return response, nil
		}
		failure := transport.OutcomeOf(err)
		mayHaveRun = mayHaveRun || failure.Outcome != outcome.NotRun
		if !worthRetry(failure) {
			return response, failure
		}
		if !pause.Sleep(ctx, wait.NextBackOff()) {
			result := outcome.NotRun
			if mayHaveRun {
				result = outcome.Indeterminate
			}
			return response, outcome.Wrap(failure, result, outcome.ReasonUnavailable, "no owner of the partition answered").After(retryAfter)
		}
	}
}

// attempt makes one try, without the transport where this node is the owner.
func attempt[Request partitionRequest, Response proto.Message](
	ctx context.Context, f *forwarder, m method[Request, Response], request Request,
) (Response, error) {
	var none Response
	ctx, cancel := context.WithTimeout(ctx, forwardAttempt)
	defer cancel()
	if owned, err := f.partitions.find(request.GetPartition()); err == nil {
		return m.serve(owned, ctx, request)
	}
	address, known := f.locator.Owner(ledger.PartitionID(request.GetPartition()))
	if !known {
		return none, errNotOwner()
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return none, outcome.Wrap(err, outcome.NotRun, outcome.ReasonNotOwner, "owner's address")
	}
	f.watchOwner(ctx, cancel, ledger.PartitionID(request.GetPartition()), address)
	response := m.newResponse()
	if err := f.caller.Call(ctx, to, m.name, request, response); err != nil {
		return none, err
	}
	return response, nil
}

// watchOwner cancels ctx once the partition is known to have another owner than the node at address, which may be
// paused or cut off and answer nothing for long. The watch ends with ctx.
func (f *forwarder) watchOwner(ctx context.Context, cancel func(), partition ledger.PartitionID, address string) {
	time.AfterFunc(ownerCheck, func() {
		if ctx.Err() != nil {
			return
		}
		if present, known := f.locator.Owner(partition); known && present != address {
			cancel()
			return
		}
		f.watchOwner(ctx, cancel, partition, address)
	})
}

// worthRetry tells whether another try may end otherwise. All requests may be served twice.
func worthRetry(failure *outcome.Error) bool {
	switch failure.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonUnavailable, outcome.ReasonDeadline, outcome.ReasonCallerCancelled, outcome.ReasonInternal:
		return true
	default:
		return false
	}
}
