package session

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// runRepeatable runs a request that may run more than once. After a broken stream it first
// reattaches to the run, then resumes on another replica.
func (a *answer) runRepeatable(ctx context.Context) error {
	if a.request.Reconnects() {
		if done, err := a.reconnect(ctx); done {
			return err
		}
	}
	backoff := newRetryBackoff()
	attempts := 0
	for {
		previousOffset := a.offset
		err := a.attempt(ctx)
		if err == nil {
			return nil
		}
		if terminal := a.terminalError(ctx, err); terminal != nil {
			return terminal
		}
		if a.offset > previousOffset {
			backoff.reset()
		}
		attempts++
		if !a.mayRetry(attempts, err) || !backoff.wait(ctx) {
			return a.finalError(ctx, err)
		}
	}
}

// reconnect attaches to the run of an earlier connection. done is false if the request can
// be resumed on another replica.
func (a *answer) reconnect(ctx context.Context) (done bool, err error) {
	endpoint, found := a.runner.endpoint(a.request.Replica)
	cause := error(engine.KindNoSuchRun.New("replica %s is not in the directory", a.request.Replica))
	if found {
		cause = a.streamFromEarlier(ctx, endpoint)
	}
	if cause == nil {
		return true, nil
	}
	if terminal := a.terminalError(ctx, cause); terminal != nil {
		return true, terminal
	}
	if !a.priorKnown {
		return true, outcome.Wrap(cause, outcome.Indeterminate, outcome.ReasonEngineFailed,
			"the run is gone; send the text received so far as resume.text to go on elsewhere")
	}
	a.excludeReplica(a.request.Replica)
	a.runner.metrics.retry(a.request.Service.Name, retryResume)
	return false, nil
}

// streamFromEarlier forwards the run of an earlier connection. If the caller did not send the
// text received so far, it reads that text from the engine at the same time.
func (a *answer) streamFromEarlier(ctx context.Context, to engine.Endpoint) error {
	if a.priorKnown {
		return a.streamFrom(ctx, to, true)
	}
	reader := readPrior(ctx, a.runner.Client, to, a.engineRequest())
	defer reader.stop()
	err := a.streamFrom(ctx, to, true)
	if err != nil {
		a.prependPrior(reader)
	}
	return err
}

// attempt runs or resumes the request on one replica chosen by routing. If routing finds none, the
// exclusions are dropped and it is asked once more.
func (a *answer) attempt(ctx context.Context) error {
	decision, release, err := a.pick()
	if err != nil {
		if len(a.exclude) > 0 {
			a.exclude = nil
			decision, release, err = a.pick()
		}
		if err != nil {
			return err
		}
	}
	defer release()
	err = a.streamFrom(ctx, decision.Endpoint, false)
	if err != nil {
		a.excludeReplica(decision.Endpoint.Replica)
	}
	return err
}

// streamFrom opens a stream on one replica and forwards it. It reattaches to a broken stream
// there as long as each one brings new tokens; a run that it gives up is cancelled.
func (a *answer) streamFrom(ctx context.Context, to engine.Endpoint, attachOnly bool) error {
	started := false
	for {
		previousOffset := a.offset
		opened, err := a.callEngine(ctx, to, attachOnly)
		started = started || opened
		if err == nil {
			return nil
		}
		lost := errorx.IsOfType(err, engine.KindLost)
		if ctx.Err() == nil && lost && (a.offset > previousOffset || !attachOnly) {
			attachOnly = true
			a.runner.metrics.retry(a.request.Service.Name, retryReattach)
			continue
		}
		a.abandon(ctx, to, started || lost || errors.Is(err, errStalled), err)
		return err
	}
}

// abandon cancels a run that this request does not read any more, unless the caller
// disconnected and may reconnect to it.
func (a *answer) abandon(ctx context.Context, to engine.Endpoint, mayRun bool, cause error) {
	callerGone := errors.Is(cause, errSink) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	if !mayRun || callerGone && a.request.KeepRun {
		return
	}
	a.runner.cancelRun(to, a.request.ID)
}

// mayRetry reports whether to make a further attempt, and counts it. A stream that has begun
// is accepted work and is resumed until its deadline, if the prior text is known. Before the
// first token, attempts are bounded and use the service's retry budget.
func (a *answer) mayRetry(attempts int, cause error) bool {
	service := a.request.Service
	if a.offset > 0 {
		a.runner.metrics.retry(service.Name, retryResume)
		return a.priorKnown
	}
	var refusal *outcome.Error
	if errors.As(cause, &refusal) && !a.mayHaveRun {
		return false
	}
	if attempts >= maxInitialAttempts || !a.runner.budgets.spend(service) {
		return false
	}
	a.runner.metrics.retry(service.Name, retryCause(cause))
	return true
}

// retryCause returns the metric label of a retry before the first token.
func retryCause(cause error) string {
	switch {
	case errorx.IsOfType(cause, engine.KindNotSent):
		return retryNotSent
	case errorx.IsOfType(cause, engine.KindRefused):
		return retryRefused
	default:
		return retryRestart
	}
}
