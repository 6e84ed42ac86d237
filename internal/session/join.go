package session

import (
	"context"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// claimAwaitTimeout is how long a further caller of a key waits for the recorded result before it
// reads the run from the engine itself, since the holder of the claim may be gone.
const claimAwaitTimeout = 5 * time.Second

// joinRun returns the answer of an existing claim to a further caller of the same key. It never
// starts a run.
func (a *answer) joinRun(ctx context.Context, key string, claim Claim) error {
	a.mayHaveRun = true
	for ctx.Err() == nil {
		awaitContext, cancel := context.WithTimeout(ctx, claimAwaitTimeout)
		recorded, err := a.runner.Claimer.Await(awaitContext, a.request.Tenant.Name, key)
		if err != nil && awaitContext.Err() == nil {
			newRetryBackoff().wait(awaitContext)
		}
		cancel()
		if err == nil && recorded.Done {
			return a.returnResult(recorded.Result)
		}
		if result, complete := a.readRun(ctx, claim); complete {
			return a.returnResult(a.recordResult(ctx, key, result))
		}
	}
	if context.Cause(ctx) == errDeadline {
		// Any run that the holder of the claim may have started is past its own deadline as well.
		return a.returnResult(a.recordResult(ctx, key, Result{Outcome: string(outcome.Indeterminate), Text: "the run was lost"}))
	}
	return a.terminalError(ctx, context.Cause(ctx))
}

// returnResult returns the recorded result of the key to this caller.
func (a *answer) returnResult(result Result) error {
	if result.Outcome == string(outcome.NotRun) {
		return outcome.New(outcome.NotRun, outcome.ReasonUnavailable, result.Text).After(defaultRetryAfter)
	}
	return a.replayResult(result)
}

// readRun reads the complete answer of the claimed run from its engine.
func (a *answer) readRun(ctx context.Context, claim Claim) (result Result, complete bool) {
	endpoint, found := a.runner.endpoint(claim.Replica)
	if !found {
		return Result{}, false
	}
	stream, err := a.runner.Client.Generate(ctx, endpoint, engine.Request{
		ID: claim.RequestID, Operation: a.request.Operation, Body: a.request.Body,
		Priority: a.request.Priority.Rank, AttachOnly: true,
	})
	if err != nil {
		return Result{}, false
	}
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Next()
		if err != nil {
			return Result{}, false
		}
		text.WriteString(chunk.Text)
		if chunk.FinishReason == finishCancelled || text.Len() > maxAnswerBytes {
			return Result{}, false
		}
		if chunk.Usage != nil {
			result.Usage = *chunk.Usage
		}
		if chunk.FinishReason != "" {
			result.Outcome, result.Text, result.Finish = string(outcome.Completed), text.String(), chunk.FinishReason
			return result, true
		}
	}
}
