package session

import (
	"context"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// joinPatience is how long a further caller of a key waits for its result before it
// looks at the engine itself: the holder of the claim may be gone.
const joinPatience = 5 * time.Second

// join gives a further caller of a claimed key the same whole answer. It never starts a run.
func (a *answer) join(ctx context.Context, key string, claim Claim) error {
	a.mayHaveRun = true
	for ctx.Err() == nil {
		patience, cancel := context.WithTimeout(ctx, joinPatience)
		settled, err := a.runner.Claimer.Await(patience, a.request.Tenant.Name, key)
		if err != nil && patience.Err() == nil {
			newPause().wait(patience)
		}
		cancel()
		if err == nil && settled.Done {
			return a.settle(settled.Result)
		}
		if result, whole := a.readRun(ctx, claim); whole {
			return a.settle(a.record(ctx, key, result))
		}
	}
	if context.Cause(ctx) == errDeadline {
		// Everything that the holder could have started has passed its own deadline too.
		return a.settle(a.record(ctx, key, Result{Outcome: string(outcome.Indeterminate), Text: "the run was lost"}))
	}
	return a.endOf(ctx, context.Cause(ctx))
}

// settle tells this caller what the key stands for.
func (a *answer) settle(result Result) error {
	if result.Outcome == string(outcome.NotRun) {
		return outcome.New(outcome.NotRun, outcome.ReasonUnavailable, result.Text).After(defaultRetryAfter)
	}
	return a.replay(result)
}

// readRun reads the whole answer of the run that a claim stands for from its engine.
func (a *answer) readRun(ctx context.Context, claim Claim) (result Result, whole bool) {
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
