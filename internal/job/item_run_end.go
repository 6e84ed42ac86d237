package job

import (
	"context"
	"errors"
	"net/netip"

	"github.com/joomcode/errorx"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

const finishCancelled = "cancelled"

// handleRunEnd records the result of the item, or decides whether it is started again. It
// returns the progress if the item has to be requeued, otherwise nil.
func (r *itemRun) handleRunEnd(ctx context.Context, endpoint engine.Endpoint, requestID string, err error) *itemProgress {
	if finished := new(finishedError); errors.As(err, &finished) && finished.reason != finishCancelled {
		return r.recordCompleted(finished)
	}
	if errors.Is(err, errNotCalled) {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return r.handleCancelled(cause, endpoint, requestID)
	}
	switch {
	case errorx.IsOfType(err, engine.KindInvalid):
		return r.recordFailure(outcome.Failed, statusInvalid, outcome.ReasonInvalid, err)
	case errors.Is(err, errNoDispatchLease):
		return r.retryLater(err, "ownership_not_confirmed")
	case isNotRun(err):
		if errorx.IsOfType(err, engine.KindNotSent) {
			r.dispatcher.reporter.ReportFailure(endpoint.Replica)
		}
		r.excludeReplica(endpoint.Replica)
		return r.retryLater(err, "item_refused")
	case r.job.notRepeatable:
		r.progress.recordedAttempt = &jobpb.ItemAttempt{
			RequestId: requestID, Replica: endpoint.Replica, Address: endpoint.Address.String(),
		}
		return r.attachToRun()
	default:
		return r.handleLostRun(endpoint, requestID, err)
	}
}

// handleCancelled cancels the run at its engine and requeues the item if the job still
// runs here. The run of an item that is not repeatable continues when the partition was
// lost, for the next owner to attach to.
func (r *itemRun) handleCancelled(cause error, endpoint engine.Endpoint, requestID string) *itemProgress {
	if r.job.notRepeatable && errors.Is(cause, errPartitionLost) {
		return nil
	}
	r.cancelRun(endpoint, requestID)
	return r.requeueUnlessEnded()
}

// handleLostRun requeues a repeatable item, to resume after the tokens received so far. The
// item fails after maxLostRuns lost runs in a row.
func (r *itemRun) handleLostRun(endpoint engine.Endpoint, requestID string, err error) *itemProgress {
	r.cancelRun(endpoint, requestID)
	r.excludeReplica(endpoint.Replica)
	r.progress.lostRuns++
	if r.progress.lostRuns > maxLostRuns {
		return r.recordFailure(outcome.Failed, statusEngineFailed, outcome.ReasonEngineFailed, err)
	}
	return r.retryLater(err, "run_lost")
}

// excludeReplica excludes the replica that failed the item last from the next attempt.
// Only one replica is excluded, so that a small fleet is not exhausted.
func (r *itemRun) excludeReplica(replica string) {
	r.progress.excluded = map[string]bool{replica: true}
}

// cancelRun asks the engine to cancel a run whose output is no longer read.
func (r *itemRun) cancelRun(endpoint engine.Endpoint, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := r.dispatcher.engines.Cancel(ctx, endpoint, requestID); err != nil {
		r.logger().Err(err).Str(logging.FieldReplica, endpoint.Replica).Msg("run_not_cancelled")
	}
}

// isNotRun reports whether the error proves that the engine did not run the request.
func isNotRun(err error) bool {
	return errorx.IsOfType(err, engine.KindRefused) || errorx.IsOfType(err, engine.KindNotSent)
}

// attachToRun reads the output of the recorded run of an item that is not repeatable. It
// never starts a run. The item becomes indeterminate if the engine no longer has the run or
// yields no new token for attachWindow.
func (r *itemRun) attachToRun() *itemProgress {
	attempt := r.progress.recordedAttempt
	address, err := netip.ParseAddrPort(attempt.GetAddress())
	if err != nil {
		return r.recordFailure(outcome.Indeterminate, statusIndeterminate, outcome.ReasonInternal, err)
	}
	endpoint := engine.Endpoint{Replica: attempt.GetReplica(), Address: address}
	retryBackoff := newBackoff()
	deadline := clock.Now().Add(attachWindow)
	for {
		stream, err := r.open(r.job.ctx, endpoint, attempt.GetRequestId(), true)
		if err == nil {
			previousOffset := r.progress.offset
			err = r.consume(stream)
			if r.progress.offset > previousOffset {
				deadline = clock.Now().Add(attachWindow)
				retryBackoff.Reset()
			}
		}
		finished := new(finishedError)
		switch {
		case errors.As(err, &finished) && finished.reason != finishCancelled:
			return r.recordCompleted(finished)
		case errors.Is(err, errNotCalled):
			return nil
		case r.job.ctx.Err() != nil:
			return r.handleCancelled(context.Cause(r.job.ctx), endpoint, attempt.GetRequestId())
		case errorx.IsOfType(err, engine.KindNoSuchRun), finished.reason != "", clock.Now().After(deadline):
			return r.recordFailure(outcome.Indeterminate, statusIndeterminate, outcome.ReasonEngineFailed, err)
		}
		if !pause.Sleep(r.job.ctx, retryBackoff.NextBackOff()) {
			return r.handleCancelled(context.Cause(r.job.ctx), endpoint, attempt.GetRequestId())
		}
	}
}
