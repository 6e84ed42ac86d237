package job

import (
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

// recordCompleted records the complete answer.
func (r *itemRun) recordCompleted(finished *finishedError) *itemProgress {
	body := completionBody(r.job.operation, r.itemName(), r.line.generation.Model, r.progress, finished)
	return r.recordResult(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID,
		Outcome: string(outcome.Completed), Status: statusCompleted, Body: body,
	})
}

// recordFailure records an error as the result of the item.
func (r *itemRun) recordFailure(result outcome.Outcome, status int32, reason outcome.Reason, cause error) *itemProgress {
	return r.recordResult(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID, Outcome: string(result), Status: status,
		Body: errorBody(reason, cause),
	})
}

// recordResult releases the credit and makes the result durable. It retries while the
// ledger refuses the record, because the item has already run. A result is dropped if its
// job has ended.
func (r *itemRun) recordResult(result *jobpb.ItemResult) *itemProgress {
	if r.release != nil {
		r.release()
	}
	if len(result.GetBody()) > maxResultBytes {
		result.Outcome, result.Status = string(outcome.Failed), statusTooLarge
		result.Body = errorBody(outcome.ReasonTooLarge, nil)
	}
	record := encodeRecord(ledger.KindItemCompleted, &jobpb.ItemCompleted{
		JobId: r.job.id, Index: result.GetIndex(), Result: result, RecordedAtMicros: micros(time.Now()),
	})
	retryBackoff := newBackoff()
	for {
		err := r.job.partition.propose(r.job.ctx, record)
		if err == nil {
			r.dispatcher.metrics.itemsCompleted.WithLabelValues(result.GetOutcome()).Inc()
			return nil
		}
		if outcome.As(err).Outcome != outcome.NotRun || !pause.Sleep(r.job.ctx, retryBackoff.NextBackOff()) {
			return nil
		}
		r.logger().Err(err).Msg("result_not_recorded")
	}
}
