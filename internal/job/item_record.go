package job

import (
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

// complete records the whole answer.
func (r *itemRun) complete(finished *errFinished) *itemProgress {
	body := completionBody(r.job.operation, r.itemName(), r.line.generation.Model, r.progress, finished)
	return r.record(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID, Outcome: string(outcome.Completed), Status: statusCompleted, Body: body,
	})
}

// fail records a result without an answer.
func (r *itemRun) fail(result outcome.Outcome, status int32, reason outcome.Reason, cause error) *itemProgress {
	return r.record(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID, Outcome: string(result), Status: status,
		Body: errorBody(reason, cause),
	})
}

// record gives the credit back and makes the result durable. While the ledger takes
// nothing it keeps trying, because the work is done. A result of a job that has ended
// is dropped.
func (r *itemRun) record(result *jobpb.ItemResult) *itemProgress {
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
	wait := newBackOff()
	for {
		err := r.job.partition.propose(r.job.ctx, record)
		if err == nil {
			r.dispatcher.metrics.itemsCompleted.WithLabelValues(result.GetOutcome()).Inc()
			return nil
		}
		if outcome.As(err).Outcome != outcome.NotRun || !pause.Sleep(r.job.ctx, wait.NextBackOff()) {
			return nil
		}
		r.logger().Err(err).Msg("result_not_recorded")
	}
}
