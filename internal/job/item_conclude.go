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

// conclude decides what the end of a run means.
func (r *itemRun) conclude(ctx context.Context, to engine.Endpoint, requestID string, err error) *itemProgress {
	if finished := new(errFinished); errors.As(err, &finished) && finished.reason != finishCancelled {
		return r.complete(finished)
	}
	if errors.Is(err, errNotCalled) {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return r.concludeCancelled(cause, to, requestID)
	}
	switch {
	case errorx.IsOfType(err, engine.KindInvalid):
		return r.fail(outcome.Failed, statusInvalid, outcome.ReasonInvalid, err)
	case errors.Is(err, errNotConfirmed):
		return r.retryLater(err, "ownership_not_confirmed")
	case isNotRun(err):
		if errorx.IsOfType(err, engine.KindNotSent) {
			r.dispatcher.reporter.ReportFailure(to.Replica)
		}
		r.excludeReplica(to.Replica)
		return r.retryLater(err, "item_refused")
	case r.job.notRepeatable:
		r.progress.attach = &jobpb.ItemAttempt{RequestId: requestID, Replica: to.Replica, Address: to.Address.String()}
		return r.attach()
	default:
		return r.concludeLost(to, requestID, err)
	}
}

// concludeCancelled ends a run that this node gave up.
func (r *itemRun) concludeCancelled(cause error, to engine.Endpoint, requestID string) *itemProgress {
	if r.job.notRepeatable && errors.Is(cause, errPartitionLost) {
		return nil
	}
	r.cancelRun(to, requestID)
	return r.requeueUnlessEnded()
}

// concludeLost puts a repeatable item back, to go on behind the tokens it has.
func (r *itemRun) concludeLost(to engine.Endpoint, requestID string, err error) *itemProgress {
	r.cancelRun(to, requestID)
	r.excludeReplica(to.Replica)
	r.progress.lost++
	if r.progress.lost > maxLostRuns {
		return r.fail(outcome.Failed, statusEngineFailed, outcome.ReasonEngineFailed, err)
	}
	return r.retryLater(err, "run_lost")
}

// excludeReplica keeps the item off the replica that failed it last; only one is
// kept, so that a small fleet isn't used up.
func (r *itemRun) excludeReplica(replica string) {
	r.progress.exclude = map[string]bool{replica: true}
}

// cancelRun tells the engine to end a run that nobody reads any more.
func (r *itemRun) cancelRun(to engine.Endpoint, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := r.dispatcher.engines.Cancel(ctx, to, requestID); err != nil {
		r.logger().Err(err).Str(logging.FieldReplica, to.Replica).Msg("run_not_cancelled")
	}
}

// isNotRun tells whether the engine surely did not run the request.
func isNotRun(err error) bool {
	return errorx.IsOfType(err, engine.KindRefused) || errorx.IsOfType(err, engine.KindNotSent)
}

// attach follows the recorded run of an item that is not repeatable to its end. It
// never starts one.
func (r *itemRun) attach() *itemProgress {
	attempt := r.progress.attach
	address, err := netip.ParseAddrPort(attempt.GetAddress())
	if err != nil {
		return r.fail(outcome.Indeterminate, statusIndeterminate, outcome.ReasonInternal, err)
	}
	to := engine.Endpoint{Replica: attempt.GetReplica(), Address: address}
	wait := newBackOff()
	giveUp := clock.Now().Add(attachWindow)
	for {
		stream, err := r.open(r.job.ctx, to, attempt.GetRequestId(), true)
		if err == nil {
			before := r.progress.offset
			err = r.consume(stream)
			if r.progress.offset > before {
				giveUp = clock.Now().Add(attachWindow)
				wait.Reset()
			}
		}
		finished := new(errFinished)
		switch {
		case errors.As(err, &finished) && finished.reason != finishCancelled:
			return r.complete(finished)
		case errors.Is(err, errNotCalled):
			return nil
		case r.job.ctx.Err() != nil:
			return r.concludeCancelled(context.Cause(r.job.ctx), to, attempt.GetRequestId())
		case errorx.IsOfType(err, engine.KindNoSuchRun), finished.reason != "", clock.Now().After(giveUp):
			return r.fail(outcome.Indeterminate, statusIndeterminate, outcome.ReasonEngineFailed, err)
		}
		if !pause.Sleep(r.job.ctx, wait.NextBackOff()) {
			return r.concludeCancelled(context.Cause(r.job.ctx), to, attempt.GetRequestId())
		}
	}
}
