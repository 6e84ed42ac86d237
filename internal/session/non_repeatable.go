package session

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
)

const (
	// maxKeyRounds bounds how often one key may end as not run and be sent again.
	maxKeyRounds = 64
	// reattachTimeout is how long to keep reattaching to a non-repeatable run without progress.
	reattachTimeout = 15 * time.Second
	// completeTimeout bounds the recording of a result, also after the request's own deadline.
	completeTimeout = 5 * time.Second
)

// runNonRepeatable runs a non-repeatable request at most once. The claim of its idempotency key is
// durable before an engine is called, and only the holder of the claim calls one. The run
// continues after the caller disconnects, and its result is recorded under the key.
func (a *answer) runNonRepeatable(callerContext context.Context) error {
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(callerContext), a.request.Deadline, errDeadline)
	defer cancel()
	for round := range maxKeyRounds {
		key := roundKey(a.request.IdempotencyKey, round)
		decision, release, err := a.pick()
		if err != nil {
			return a.finalError(ctx, err)
		}
		claim, err := a.claim(ctx, key, decision.Endpoint.Replica)
		switch {
		case err != nil:
			release()
			return err
		case claim.Done && claim.Result.Outcome == string(outcome.NotRun):
			release()
		case claim.Done:
			release()
			return a.replayResult(claim.Result)
		case !claim.Granted:
			release()
			joinContext, cancelJoin := context.WithDeadlineCause(callerContext, a.request.Deadline, errDeadline)
			defer cancelJoin()
			return a.joinRun(joinContext, key, claim)
		default:
			return a.execute(ctx, key, decision, release)
		}
	}
	return outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key was refused too often; send a new one")
}

// roundKey returns the key to claim in a round, where all earlier rounds were recorded as not
// run.
func roundKey(key string, round int) string {
	if round == 0 {
		return key
	}
	return key + "\x00" + strconv.Itoa(round)
}

// claim retries until the state of the claim is known. A claim that already names this
// request was granted to it by an earlier call whose response was lost.
func (a *answer) claim(ctx context.Context, key, replica string) (Claim, error) {
	backoff := newRetryBackoff()
	for {
		claim, err := a.runner.Claimer.Claim(ctx, a.request.Tenant.Name, key, a.request.Fingerprint, a.request.ID, replica)
		if err == nil {
			claim.Granted = claim.Granted || !claim.Done && claim.RequestID == a.request.ID
			return claim, nil
		}
		var typed *outcome.Error
		if errors.As(err, &typed) && (typed.Reason == outcome.ReasonConflict || typed.Reason == outcome.ReasonInvalid) {
			return Claim{}, typed
		}
		if ctx.Err() != nil || !backoff.wait(ctx) {
			// No engine was called and none will be: the claim, if it was recorded, is never used.
			return Claim{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the key could not be recorded").After(defaultRetryAfter)
		}
	}
}

// execute calls an engine as the holder of the claim, and records the result.
func (a *answer) execute(ctx context.Context, key string, decision routing.Decision, release func()) error {
	var lastChunk *Chunk
	callerSink := a.sink
	a.sink = func(chunk Chunk) error {
		if chunk.FinishReason != "" {
			lastChunk = &chunk
			return nil
		}
		// The run continues after the caller disconnected, so the error is ignored.
		_ = callerSink(chunk)
		return nil
	}
	err := a.startRun(ctx, key, decision, release)
	recorded := a.recordResult(ctx, key, a.runResult(ctx, err))
	if err != nil {
		return a.finalError(ctx, err)
	}
	if recorded.Outcome != string(outcome.Completed) {
		return resultError(recorded)
	}
	if lastChunk == nil {
		return nil
	}
	if err := callerSink(*lastChunk); err != nil {
		return outcome.Wrap(err, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away; the result is recorded")
	}
	return nil
}

// startRun starts the run on the first replica that does not refuse it, and forwards that run
// only.
func (a *answer) startRun(ctx context.Context, key string, decision routing.Decision, release func()) error {
	backoff := newRetryBackoff()
	for attempts := 1; ; attempts++ {
		_, err := a.callEngine(ctx, decision.Endpoint, false)
		if a.mayHaveRun {
			defer release()
			return a.followRun(ctx, decision.Endpoint, err)
		}
		release()
		a.excludeReplica(decision.Endpoint.Replica)
		if errorx.IsOfType(err, engine.KindInvalid) || attempts >= maxInitialAttempts ||
			!a.runner.budgets.spend(a.request.Service) || !backoff.wait(ctx) {
			return err
		}
		a.runner.metrics.retry(a.request.Service.Name, retryCause(err))
		var pickError error
		if decision, release, pickError = a.pick(); pickError != nil {
			return err
		}
		// The claim names the replica on which further callers look for the run.
		if claim, claimError := a.claim(ctx, key, decision.Endpoint.Replica); claimError != nil || !claim.Granted {
			release()
			return err
		}
	}
}

// followRun reattaches to the single run of a non-repeatable request until it has ended, is
// known to be lost, or the engine stays unreachable for reattachTimeout. A run that did not
// complete is cancelled unless the engine does not have it.
func (a *answer) followRun(ctx context.Context, to engine.Endpoint, err error) error {
	err = a.reattachUntilEnd(ctx, to, err)
	if err != nil && !errorx.IsOfType(err, engine.KindNoSuchRun) {
		a.runner.cancelRun(to, a.request.ID)
	}
	return err
}

// reattachUntilEnd reattaches after err until the run has ended or cannot be read any more.
func (a *answer) reattachUntilEnd(ctx context.Context, to engine.Endpoint, err error) error {
	backoff := newRetryBackoff()
	lastProgress := time.Now()
	for err != nil && ctx.Err() == nil {
		if errorx.IsOfType(err, engine.KindNoSuchRun) || errorx.IsOfType(err, engine.KindInvalid) ||
			errors.Is(err, errRunCancelled) || errors.Is(err, errAnswerTooLong) || time.Since(lastProgress) > reattachTimeout {
			return err
		}
		if !backoff.wait(ctx) {
			return err
		}
		a.runner.metrics.retry(a.request.Service.Name, retryReattach)
		previousOffset := a.offset
		_, err = a.callEngine(ctx, to, true)
		if a.offset > previousOffset {
			lastProgress = time.Now()
			backoff.reset()
		}
	}
	return err
}

// runResult returns the result to record for a run that ended with err.
func (a *answer) runResult(ctx context.Context, err error) Result {
	if err == nil {
		return Result{Outcome: string(outcome.Completed), Text: a.prior.String(), Finish: a.finish, Usage: a.usage}
	}
	failure := outcome.As(a.finalError(ctx, err))
	return Result{Outcome: string(failure.Outcome), Text: failure.Message}
}

// recordResult completes the key and returns the recorded result, which is an earlier one if the
// key already had it. If recording fails, result itself is returned; a resent request then
// finds the claim and waits.
func (a *answer) recordResult(ctx context.Context, key string, result Result) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	defer cancel()
	backoff := newRetryBackoff()
	for {
		recorded, err := a.runner.Claimer.Complete(ctx, a.request.Tenant.Name, key, result)
		if err == nil {
			return recorded
		}
		if !backoff.wait(ctx) {
			a.runner.Logger.Warn().Err(err).Str("request", a.request.ID).Msg("result of a marked request could not be recorded")
			return result
		}
	}
}

// replayResult sends a recorded result to this caller.
func (a *answer) replayResult(result Result) error {
	if result.Outcome != string(outcome.Completed) {
		return resultError(result)
	}
	usage := result.Usage
	chunk := Chunk{Chunk: engine.Chunk{
		Tokens: usage.CompletionTokens, Text: result.Text, FinishReason: result.Finish, Usage: &usage,
	}}
	if err := a.sink(chunk); err != nil {
		return outcome.Wrap(err, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away; the result is recorded")
	}
	return nil
}

// resultError returns the error for a recorded result that is not a completed answer.
func resultError(result Result) error {
	reason := outcome.ReasonEngineFailed
	if result.Outcome == string(outcome.Failed) {
		reason = outcome.ReasonInvalid
	}
	return outcome.New(outcome.Outcome(result.Outcome), reason, result.Text)
}
