package session

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// runRepeatable carries a request that may run more than once to its end: a broken
// stream is attached to again, then resumed on another replica.
func (a *answer) runRepeatable(ctx context.Context) error {
	if a.request.Reconnects() {
		if done, err := a.reconnect(ctx); done {
			return err
		}
	}
	pause := newPause()
	fresh := 0
	for {
		before := a.offset
		err := a.attempt(ctx)
		if err == nil {
			return nil
		}
		if ended := a.endOf(ctx, err); ended != nil {
			return ended
		}
		if a.offset > before {
			pause.reset()
		}
		fresh++
		if !a.mayRetry(fresh, err) || !pause.wait(ctx) {
			return a.failure(ctx, err)
		}
	}
}

// reconnect attaches to the run of an earlier connection. done is false where the
// request can go on on another replica.
func (a *answer) reconnect(ctx context.Context) (done bool, err error) {
	endpoint, found := a.runner.endpoint(a.request.Replica)
	cause := error(engine.KindNoSuchRun.New("replica %s is not known", a.request.Replica))
	if found {
		cause = a.followOn(ctx, endpoint, true)
	}
	if cause == nil {
		return true, nil
	}
	if ended := a.endOf(ctx, cause); ended != nil {
		return true, ended
	}
	if !a.priorKnown {
		return true, outcome.Wrap(cause, outcome.Indeterminate, outcome.ReasonEngineFailed,
			"the run is gone; send the text received so far as resume.text to go on elsewhere")
	}
	a.excludeReplica(a.request.Replica)
	a.runner.metrics.retry(a.request.Service.Name, retryResume)
	return false, nil
}

// attempt runs or resumes the request on one replica that routing picks.
func (a *answer) attempt(ctx context.Context) error {
	decision, done, err := a.pick()
	if err != nil {
		if len(a.exclude) > 0 {
			a.exclude = nil
			decision, done, err = a.pick()
		}
		if err != nil {
			return err
		}
	}
	defer done()
	err = a.followOn(ctx, decision.Endpoint, false)
	if err != nil {
		a.excludeReplica(decision.Endpoint.Replica)
	}
	return err
}

// followOn opens a stream on one replica and follows it. A stream that breaks is attached
// to again there as long as it brings new tokens; a run that is given up is cancelled.
func (a *answer) followOn(ctx context.Context, to engine.Endpoint, attachOnly bool) error {
	started := false
	for {
		before := a.offset
		opened, err := a.callEngine(ctx, to, attachOnly)
		started = started || opened
		if err == nil {
			return nil
		}
		lost := errorx.IsOfType(err, engine.KindLost)
		if ctx.Err() == nil && lost && (a.offset > before || !attachOnly) {
			attachOnly = true
			a.runner.metrics.retry(a.request.Service.Name, retryReattach)
			continue
		}
		a.abandon(ctx, to, started || lost || errors.Is(err, errStalled), err)
		return err
	}
}

// abandon cancels the run on a replica that will not be read again from here.
func (a *answer) abandon(ctx context.Context, to engine.Endpoint, mayRun bool, cause error) {
	callerGone := errors.Is(cause, errSink) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	if !mayRun || callerGone && a.request.KeepRun {
		return
	}
	a.runner.cancelRun(to, a.request.ID)
}

// mayRetry decides on a further attempt and counts it. A stream that has begun is always
// resumed, until its deadline: it is accepted work. Before that, attempts are bounded
// and take from the service's retry budget.
func (a *answer) mayRetry(fresh int, cause error) bool {
	service := a.request.Service
	if a.offset > 0 {
		a.runner.metrics.retry(service.Name, retryResume)
		return a.priorKnown
	}
	var refusal *outcome.Error
	if errors.As(cause, &refusal) && !a.mayHaveRun {
		return false
	}
	if fresh >= maxFreshAttempts || !a.runner.budgets.spend(service) {
		return false
	}
	a.runner.metrics.retry(service.Name, freshCause(cause))
	return true
}

func freshCause(cause error) string {
	switch {
	case errorx.IsOfType(cause, engine.KindNotSent):
		return retryNotSent
	case errorx.IsOfType(cause, engine.KindRefused):
		return retryRefused
	default:
		return retryRestart
	}
}
