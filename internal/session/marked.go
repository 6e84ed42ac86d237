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
	// maxKeyRounds bounds how often one key may be refused and sent again.
	maxKeyRounds = 64
	// attachPatience is how long an unreachable engine is asked for a marked run.
	attachPatience = 15 * time.Second
	// completeTimeout bounds the recording of a result after the request's own deadline.
	completeTimeout = 5 * time.Second
)

// runMarked runs a request that runs at most once. The claim of its key is durable before
// an engine is called, and only the holder of the claim calls one. The run does not end
// when the caller goes away: its result is recorded under the key.
func (a *answer) runMarked(callerContext context.Context) error {
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(callerContext), a.request.Deadline, errDeadline)
	defer cancel()
	for round := range maxKeyRounds {
		key := roundKey(a.request.IdempotencyKey, round)
		decision, done, err := a.pick()
		if err != nil {
			return a.failure(ctx, err)
		}
		claim, err := a.claim(ctx, key, decision.Endpoint.Replica)
		switch {
		case err != nil:
			done()
			return err
		case claim.Done && claim.Result.Outcome == string(outcome.NotRun):
			done()
		case claim.Done:
			done()
			return a.replay(claim.Result)
		case !claim.Granted:
			done()
			joinContext, cancelJoin := context.WithDeadlineCause(callerContext, a.request.Deadline, errDeadline)
			defer cancelJoin()
			return a.join(joinContext, key, claim)
		default:
			return a.execute(ctx, key, decision, done)
		}
	}
	return outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key was refused too often; send a new one")
}

// roundKey names the claim of a key after its earlier rounds were recorded as not run.
func roundKey(key string, round int) string {
	if round == 0 {
		return key
	}
	return key + "\x00" + strconv.Itoa(round)
}

// claim asks until the answer is known. A claim that names this very request is this
// call's own, granted by an answer that got lost.
func (a *answer) claim(ctx context.Context, key, replica string) (Claim, error) {
	pause := newPause()
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
		if ctx.Err() != nil || !pause.wait(ctx) {
			// No engine was called and none will be: the claim, if it stands, is never used.
			return Claim{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the key could not be recorded").After(defaultRetryAfter)
		}
	}
}

// execute calls an engine as the holder of the claim, and records the result.
func (a *answer) execute(ctx context.Context, key string, decision routing.Decision, done func()) error {
	var held *Chunk
	deliver := a.sink
	a.sink = func(chunk Chunk) error {
		if chunk.FinishReason != "" {
			held = &chunk
			return nil
		}
		// A caller that went away does not end the run.
		_ = deliver(chunk)
		return nil
	}
	err := a.callOnce(ctx, key, decision, done)
	recorded := a.record(ctx, key, a.result(ctx, err))
	if err != nil {
		return a.failure(ctx, err)
	}
	if recorded.Outcome != string(outcome.Completed) {
		return resultError(recorded)
	}
	if held == nil {
		return nil
	}
	if err := deliver(*held); err != nil {
		return outcome.Wrap(err, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away; the result is recorded")
	}
	return nil
}

// callOnce starts the run on the first replica that does not refuse it, and follows that run only.
func (a *answer) callOnce(ctx context.Context, key string, decision routing.Decision, done func()) error {
	pause := newPause()
	for attempts := 1; ; attempts++ {
		_, err := a.callEngine(ctx, decision.Endpoint, false)
		if a.mayHaveRun {
			defer done()
			return a.followRun(ctx, decision.Endpoint, err)
		}
		done()
		a.excludeReplica(decision.Endpoint.Replica)
		if errorx.IsOfType(err, engine.KindInvalid) || attempts >= maxFreshAttempts ||
			!a.runner.budgets.spend(a.request.Service) || !pause.wait(ctx) {
			return err
		}
		a.runner.metrics.retry(a.request.Service.Name, freshCause(err))
		var pickError error
		if decision, done, pickError = a.pick(); pickError != nil {
			return err
		}
		// The claim names the replica on which others look for the run.
		if claim, claimError := a.claim(ctx, key, decision.Endpoint.Replica); claimError != nil || !claim.Granted {
			done()
			return err
		}
	}
}

// followRun attaches again to the one run of a marked request until it has ended, or
// is known to be gone, or the engine stays unreachable.
func (a *answer) followRun(ctx context.Context, to engine.Endpoint, err error) error {
	err = a.attachUntilEnd(ctx, to, err)
	if err != nil && !errorx.IsOfType(err, engine.KindNoSuchRun) {
		a.runner.cancelRun(to, a.request.ID)
	}
	return err
}

func (a *answer) attachUntilEnd(ctx context.Context, to engine.Endpoint, err error) error {
	pause := newPause()
	lastProgress := time.Now()
	for err != nil && ctx.Err() == nil {
		if errorx.IsOfType(err, engine.KindNoSuchRun) || errorx.IsOfType(err, engine.KindInvalid) ||
			errors.Is(err, errRunCancelled) || errors.Is(err, errAnswerTooLong) || time.Since(lastProgress) > attachPatience {
			return err
		}
		if !pause.wait(ctx) {
			return err
		}
		a.runner.metrics.retry(a.request.Service.Name, retryReattach)
		before := a.offset
		_, err = a.callEngine(ctx, to, true)
		if a.offset > before {
			lastProgress = time.Now()
			pause.reset()
		}
	}
	return err
}

// result is what is recorded of a run that ended with err.
func (a *answer) result(ctx context.Context, err error) Result {
	if err == nil {
		return Result{Outcome: string(outcome.Completed), Text: a.prior.String(), Finish: a.finish, Usage: a.usage}
	}
	failure := outcome.As(a.failure(ctx, err))
	return Result{Outcome: string(failure.Outcome), Text: failure.Message}
}

// record completes the key and returns the result that stands. Where it cannot be
// recorded the result at hand is returned; a resend then finds the claim and waits.
func (a *answer) record(ctx context.Context, key string, result Result) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	defer cancel()
	pause := newPause()
	for {
		standing, err := a.runner.Claimer.Complete(ctx, a.request.Tenant.Name, key, result)
		if err == nil {
			return standing
		}
		if !pause.wait(ctx) {
			a.runner.Logger.Warn().Err(err).Str("request", a.request.ID).Msg("result of a marked request could not be recorded")
			return result
		}
	}
}

// replay gives a recorded result to this caller.
func (a *answer) replay(result Result) error {
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

// resultError is the error that a recorded result other than an answer stands for.
func resultError(result Result) error {
	reason := outcome.ReasonEngineFailed
	if result.Outcome == string(outcome.Failed) {
		reason = outcome.ReasonInvalid
	}
	return outcome.New(outcome.Outcome(result.Outcome), reason, result.Text)
}
