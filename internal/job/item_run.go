package job

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
)

const (
	// cancelTimeout bounds the cancel of a run at its engine.
	cancelTimeout = 2 * time.Second
	// attachWindow is how long an engine keeps the output of a run that ended; a
	// lost run that can't be reached for as long is given up.
	attachWindow = 60 * time.Second
	// maxResultBytes bounds the body of a result; custom_id, at most a line, stands beside it.
	maxResultBytes = ledger.MaxRecordBytes - maxLineBytes - 4096
	// maxLostRuns bounds the runs of one repeatable item that end without an answer
	// or any new token, before the item fails.
	maxLostRuns = 16
)

var (
	// errCreditRevoked is the cause of a stream's end when its credit is taken back.
	errCreditRevoked = errors.New("the credit was revoked")
	// errNotCalled: the job had ended, so that the engine was not called.
	errNotCalled = errors.New("the engine was not called")
	// errNotConfirmed: ownership was not proved, so that the engine was not called.
	errNotConfirmed = errors.New("ownership was not confirmed")
)

// itemProgress is what is known of an item between its runs.
type itemProgress struct {
	// offset tokens of the answer are in text.
	offset int
	text   []byte
	// failures in a row set the wait before the next try; lost counts those of them
	// whose run may have begun.
	failures int
	lost     int
	// exclude holds replicas that failed the item.
	exclude map[string]bool
	// attach is the recorded call of an item that is not repeatable.
	attach *jobpb.ItemAttempt
}

// itemRun is one try of one item, on its own goroutine.
type itemRun struct {
	dispatcher *dispatcher
	job        *jobRun
	key        flightKey
	progress   *itemProgress
	// wait ends when the job ends here or the core gives the wait up.
	wait context.Context
	line *itemLine
	// model and adapter are what the line's model stands for now.
	model, adapter string
}

// run returns nil once the item has its result or its job has ended here, or what
// is known of it if it has to go back to the queue.
func (r *itemRun) run() *itemProgress {
	if !r.backOff() {
		return r.requeueUnlessEnded()
	}
	line, err := r.job.readItem(r.key.index)
	if err != nil {
		return r.retryLater(err, "item_not_read")
	}
	r.line = line
	r.model, r.adapter, _ = resolveModel(r.dispatcher.models.Current(), r.job.service, line.generation.Model)
	if r.progress.attach != nil {
		r.dispatcher.send(itemGranted{r.key})
		return r.attach()
	}
	credit, err := r.dispatcher.credits.Acquire(r.wait, r.creditRequest())
	if err != nil {
		if r.wait.Err() != nil {
			return r.requeueUnlessEnded()
		}
		return r.retryLater(err, "credit_not_granted")
	}
	defer credit.Release()
	r.dispatcher.send(itemGranted{r.key})
	return r.generate(credit)
}

func (r *itemRun) requeueUnlessEnded() *itemProgress {
	if r.job.ctx.Err() != nil {
		return nil
	}
	return r.progress
}

// retryLater puts the item back after a failure that is sure not to have run it.
func (r *itemRun) retryLater(err error, event string) *itemProgress {
	if r.job.ctx.Err() != nil {
		return nil
	}
	r.progress.failures++
	r.logger().Err(err).Int("failures", r.progress.failures).Msg(event)
	return r.progress
}

// backOff waits by the number of failures in a row; false if the wait was given up.
func (r *itemRun) backOff() bool {
	if r.progress.failures == 0 {
		return true
	}
	policy := newBackOff()
	wait := policy.NextBackOff()
	for range min(r.progress.failures-1, 10) {
		wait = policy.NextBackOff()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.wait.Done():
		return false
	}
}

func (r *itemRun) creditRequest() admission.BatchRequest {
	generation := &r.line.generation
	return admission.BatchRequest{
		Routing: routing.Request{
			ID: r.itemName(), Service: r.job.service, Model: r.model, Adapter: r.adapter,
			PrefixBlocks: engine.PrefixBlocks(r.model, r.adapter, generation.Prompt),
			PromptBytes:  len(generation.Prompt), MaxTokens: generation.MaxTokens, Batch: true, Exclude: r.progress.exclude,
		},
		Tenant: r.job.tenant, Rank: r.job.rank, Deadline: r.key.job.deadline,
	}
}

// itemName is the request id of an item that is not repeatable.
func (r *itemRun) itemName() string { return fmt.Sprintf("%s:%d", r.job.id, r.key.index) }

// requestID is unique for each run of a repeatable item, so that a run which was
// cancelled on a replica is never attached to.
func (r *itemRun) requestID() string {
	if r.job.notRepeatable {
		return r.itemName()
	}
	return r.itemName() + ":" + ulid.Make().String()
}

// generate runs the item on the replica of its credit.
func (r *itemRun) generate(credit *admission.Credit) *itemProgress {
	to := credit.Decision.Endpoint
	requestID := r.requestID()
	if r.job.notRepeatable {
		if err := r.job.partition.propose(r.job.ctx, r.job.attemptRecord(r.key.index, requestID, to)); err != nil {
			return r.retryLater(err, "attempt_not_recorded")
		}
	}
	streamContext, cancel := context.WithCancelCause(r.job.ctx)
	defer cancel(nil)
	if !r.job.notRepeatable {
		// An item that must not run again keeps its run; the engine's priority still holds.
		go cancelOnRevoke(streamContext, credit.Revoked, cancel)
	}
	stream, err := r.open(streamContext, to, requestID, false)
	if err == nil {
		err = r.consume(stream)
	}
	return r.conclude(streamContext, to, requestID, err)
}

func cancelOnRevoke(ctx context.Context, revoked <-chan struct{}, cancel context.CancelCauseFunc) {
	select {
	case <-revoked:
		cancel(errCreditRevoked)
	case <-ctx.Done():
	}
}

// open calls the engine, unless the job has ended.
func (r *itemRun) open(ctx context.Context, to engine.Endpoint, requestID string, attachOnly bool) (engine.Stream, error) {
	if !r.job.calls.begin() {
		return nil, errNotCalled
	}
	defer r.job.calls.finish()
	if err := r.job.partition.confirmOwnership(r.job.ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConfirmed, err)
	}
	r.dispatcher.metrics.engineCalls.Inc()
	return r.dispatcher.engines.Generate(ctx, to, engine.Request{
		ID: requestID, Operation: r.job.operation, Body: r.line.Body,
		Model: engine.JoinModel(r.model, r.adapter), Priority: r.job.rank, Offset: r.progress.offset, Prior: string(r.progress.text), AttachOnly: attachOnly,
	})
}

// errFinished ends consume with the whole answer.
type errFinished struct {
	reason string
	usage  *engine.Usage
}

func (e *errFinished) Error() string { return "finished: " + e.reason }

// consume reads the stream into the progress, each token once; it always returns an
// error, *errFinished at the end of the answer.
func (r *itemRun) consume(stream engine.Stream) error {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return engine.KindLost.New("stream ended without a finish reason")
		}
		if err != nil {
			return err
		}
		if err := r.progress.take(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return &errFinished{chunk.FinishReason, chunk.Usage}
		}
	}
}

// take adds a chunk; one that was taken before is passed over.
func (p *itemProgress) take(chunk engine.Chunk) error {
	if chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	switch {
	case chunk.Offset == p.offset:
		p.offset += chunk.Tokens
		p.text = append(p.text, chunk.Text...)
		p.lost, p.failures = 0, 0
		return nil
	case chunk.Offset+chunk.Tokens <= p.offset:
		return nil
	default:
		return engine.KindLost.New("chunk at %d does not follow %d", chunk.Offset, p.offset)
	}
}

const finishCancelled = "cancelled"

// conclude decides what the end of a run means.
func (r *itemRun) conclude(ctx context.Context, to engine.Endpoint, requestID string, err error) *itemProgress {
	if finished := new(errFinished); errors.As(err, &finished) && finished.reason != finishCancelled {
		return r.complete(outcome.Completed, finished)
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
	giveUp := time.Now().Add(attachWindow)
	for {
		stream, err := r.open(r.job.ctx, to, attempt.GetRequestId(), true)
		if err == nil {
			before := r.progress.offset
			err = r.consume(stream)
			if r.progress.offset > before {
				giveUp = time.Now().Add(attachWindow)
				wait.Reset()
			}
		}
		finished := new(errFinished)
		switch {
		case errors.As(err, &finished) && finished.reason != finishCancelled:
			return r.complete(outcome.Completed, finished)
		case errors.Is(err, errNotCalled):
			return nil
		case r.job.ctx.Err() != nil:
			return r.concludeCancelled(context.Cause(r.job.ctx), to, attempt.GetRequestId())
		case errorx.IsOfType(err, engine.KindNoSuchRun), finished.reason != "", time.Now().After(giveUp):
			return r.fail(outcome.Indeterminate, statusIndeterminate, outcome.ReasonEngineFailed, err)
		}
		if !sleepContext(r.job.ctx, wait.NextBackOff()) {
			return r.concludeCancelled(context.Cause(r.job.ctx), to, attempt.GetRequestId())
		}
	}
}

// sleepContext waits; false if ctx ended meanwhile.
func sleepContext(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// complete records the whole answer.
func (r *itemRun) complete(result outcome.Outcome, finished *errFinished) *itemProgress {
	body := completionBody(r.job.operation, r.itemName(), r.line.generation.Model, r.progress, finished)
	return r.record(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID, Outcome: string(result), Status: statusCompleted, Body: body,
	})
}

// fail records a result without an answer.
func (r *itemRun) fail(result outcome.Outcome, status int32, reason outcome.Reason, cause error) *itemProgress {
	return r.record(&jobpb.ItemResult{
		Index: uint32(r.key.index), CustomId: r.line.CustomID, Outcome: string(result), Status: status,
		Body: errorBody(reason, cause),
	})
}

// record makes the result durable; while the ledger takes nothing it keeps trying,
// because the work is done. A result of a job that has ended is dropped.
func (r *itemRun) record(result *jobpb.ItemResult) *itemProgress {
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
		if outcome.As(err).Outcome != outcome.NotRun || !sleepContext(r.job.ctx, wait.NextBackOff()) {
			return nil
		}
		r.logger().Err(err).Msg("result_not_recorded")
	}
}

// logger returns a warning of this item.
func (r *itemRun) logger() *zerolog.Event {
	return r.dispatcher.logger.Warn().Str(logging.FieldJob, r.job.id).Int("item", r.key.index)
}

// isNotRun tells whether the engine surely did not run the request.
func isNotRun(err error) bool {
	return errorx.IsOfType(err, engine.KindRefused) || errorx.IsOfType(err, engine.KindNotSent)
}
