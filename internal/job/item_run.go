package job

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/routing"
)

const (
	// cancelTimeout bounds the call that cancels a run at its engine.
	cancelTimeout = 2 * time.Second
	// attachWindow is how long an engine retains the output of a finished run. An item
	// gets an indeterminate result if its run yields no new token for as long.
	attachWindow = 60 * time.Second
	// excludeTimeout is how long an item waits for a credit on a replica other than the one
	// that failed it.
	excludeTimeout = 3 * time.Second
	// maxResultBytes bounds the body of a result, so that the record has room for the
	// custom_id (up to one input line) and the other fields.
	maxResultBytes = ledger.MaxRecordBytes - maxLineBytes - 4096
	// maxLostRuns bounds the consecutive runs of a repeatable item that are lost without
	// any new token. The item fails after one more.
	maxLostRuns = 16
)

var (
	// errCreditRevoked is the cancel cause of a stream whose credit was revoked.
	errCreditRevoked = errors.New("the credit was revoked")
	// errNotCalled means that the engine was not called because the job had ended.
	errNotCalled = errors.New("the engine was not called")
	// errNoDispatchLease means that the engine was not called because the dispatch lease
	// could not be renewed.
	errNoDispatchLease = errors.New("ownership was not confirmed")
)

// itemRun is one attempt to run an item, on a goroutine of its own.
type itemRun struct {
	dispatcher *dispatcher
	job        *jobRun
	key        itemKey
	progress   *itemProgress
	// waitContext ends when the job ends on this node or the core cancels the wait for a
	// credit.
	waitContext context.Context
	line        *itemLine
	// model and adapter are resolved from the line's model by the current configuration.
	model, adapter string
	// release releases the credit once; nil if there is none.
	release func()
}

// run returns nil if the item has its result or its job has ended on this node, and the
// progress of the item if it has to be requeued.
func (r *itemRun) run() *itemProgress {
	if !r.waitBackoff() {
		return r.requeueUnlessEnded()
	}
	line, err := r.job.readItem(r.key.index)
	if err != nil {
		return r.retryLater(err, "item_not_read")
	}
	r.line = line
	r.model, r.adapter, _ = resolveModel(r.dispatcher.models.Current(), r.job.service, line.generation.Model)
	if r.progress.recordedAttempt != nil {
		r.dispatcher.send(itemGranted{r.key})
		return r.attachToRun()
	}
	credit, err := r.acquire()
	if err != nil {
		if r.waitContext.Err() != nil {
			return r.requeueUnlessEnded()
		}
		return r.retryLater(err, "credit_not_granted")
	}
	r.release = sync.OnceFunc(credit.Release)
	defer r.release()
	r.dispatcher.send(itemGranted{r.key})
	return r.generate(credit)
}

func (r *itemRun) requeueUnlessEnded() *itemProgress {
	if r.job.ctx.Err() != nil {
		return nil
	}
	return r.progress
}

// retryLater counts and logs a failed attempt and returns the progress, so that the item
// is requeued. It returns nil if the job has ended on this node.
func (r *itemRun) retryLater(err error, event string) *itemProgress {
	if r.job.ctx.Err() != nil {
		return nil
	}
	r.progress.failures++
	r.logger().Err(err).Int("failures", r.progress.failures).Msg(event)
	return r.progress
}

// waitBackoff waits according to the number of consecutive failures. It returns false if
// the wait was cancelled.
func (r *itemRun) waitBackoff() bool {
	if r.progress.failures == 0 {
		return true
	}
	policy := newBackoff()
	wait := policy.NextBackOff()
	for range min(r.progress.failures-1, 10) {
		wait = policy.NextBackOff()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.waitContext.Done():
		return false
	}
}

// acquire waits for a credit. The replica that failed the item is excluded for at most
// excludeTimeout, because there may be no other.
func (r *itemRun) acquire() (*admission.Credit, error) {
	if r.progress.excluded == nil {
		return r.dispatcher.credits.Acquire(r.waitContext, r.creditRequest())
	}
	ctx, cancel := context.WithTimeout(r.waitContext, excludeTimeout)
	defer cancel()
	credit, err := r.dispatcher.credits.Acquire(ctx, r.creditRequest())
	if err == nil || r.waitContext.Err() != nil {
		return credit, err
	}
	r.progress.excluded = nil
	return r.dispatcher.credits.Acquire(r.waitContext, r.creditRequest())
}

func (r *itemRun) creditRequest() admission.BatchRequest {
	generation := &r.line.generation
	return admission.BatchRequest{
		Routing: routing.Request{
			ID: r.itemName(), Service: r.job.service, Model: r.model, Adapter: r.adapter,
			PrefixBlocks: engine.PrefixBlocks(r.model, r.adapter, generation.Prompt),
			PromptBytes:  len(generation.Prompt), MaxTokens: generation.MaxTokens,
			Batch: true, Exclude: r.progress.excluded,
		},
		Tenant: r.job.tenant, Rank: r.job.rank, Deadline: r.key.job.deadline,
	}
}

// itemName identifies the item. It is the request id of an item that is not repeatable.
func (r *itemRun) itemName() string { return fmt.Sprintf("%s:%d", r.job.id, r.key.index) }

// requestID returns the request id of a new run. For a repeatable item it is unique, so
// that a replica never attaches the request to an earlier, cancelled run.
func (r *itemRun) requestID() string {
	if r.job.notRepeatable {
		return r.itemName()
	}
	return r.itemName() + ":" + ulid.Make().String()
}

// generate runs the item on the replica of its credit.
func (r *itemRun) generate(credit *admission.Credit) *itemProgress {
	endpoint := credit.Decision.Endpoint
	if r.job.notRepeatable {
		return r.generateNotRepeatable(endpoint)
	}
	requestID := r.requestID()
	streamContext, cancel := context.WithCancelCause(r.job.ctx)
	defer cancel(nil)
	go cancelOnRevoke(streamContext, credit.Revoked, cancel)
	stream, err := r.open(streamContext, endpoint, requestID, false)
	if err == nil {
		err = r.consume(stream)
	}
	return r.handleRunEnd(streamContext, endpoint, requestID, err)
}

// generateNotRepeatable records the attempt before it calls the engine. The run continues
// when the credit is revoked; the engine still applies the priority of the request.
func (r *itemRun) generateNotRepeatable(endpoint engine.Endpoint) *itemProgress {
	requestID := r.requestID()
	if !r.job.partition.attempts.begin() {
		// The next owner runs the item.
		return nil
	}
	if err := r.job.partition.propose(r.job.ctx, r.job.attemptRecord(r.key.index, requestID, endpoint)); err != nil {
		r.job.partition.attempts.finish()
		return r.retryLater(err, "attempt_not_recorded")
	}
	stream, err := r.open(r.job.ctx, endpoint, requestID, false)
	if isNotRun(err) || errors.Is(err, errNoDispatchLease) {
		// Best effort: without this record, a new owner would try to attach to a run that does not exist.
		_ = r.job.partition.propose(r.job.ctx, r.job.voidAttemptRecord(r.key.index))
	}
	r.job.partition.attempts.finish()
	if err == nil {
		err = r.consume(stream)
	}
	return r.handleRunEnd(r.job.ctx, endpoint, requestID, err)
}

func cancelOnRevoke(ctx context.Context, revoked <-chan struct{}, cancel context.CancelCauseFunc) {
	select {
	case <-revoked:
		cancel(errCreditRevoked)
	case <-ctx.Done():
	}
}

// open calls the engine, unless the job has ended.
func (r *itemRun) open(
	ctx context.Context, endpoint engine.Endpoint, requestID string, attachOnly bool,
) (engine.Stream, error) {
	if !r.job.calls.begin() {
		return nil, errNotCalled
	}
	defer r.job.calls.finish()
	if err := r.job.partition.ensureLease(r.job.ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoDispatchLease, err)
	}
	r.dispatcher.metrics.engineCalls.Inc()
	return r.dispatcher.engines.Generate(ctx, endpoint, engine.Request{
		ID: requestID, Operation: r.job.operation, Body: r.line.Body,
		Model: engine.JoinModel(r.model, r.adapter), Priority: r.job.rank,
		Offset: r.progress.offset, Prior: string(r.progress.text), AttachOnly: attachOnly,
	})
}

// consume adds the chunks of the stream to the progress, each token once. It always
// returns an error; at the end of the answer this is a *finishedError.
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
		if err := r.progress.addChunk(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return &finishedError{chunk.FinishReason, chunk.Usage}
		}
	}
}

// logger returns a warning event with the fields of this item.
func (r *itemRun) logger() *zerolog.Event {
	return r.dispatcher.logger.Warn().Str(logging.FieldJob, r.job.id).Int("item", r.key.index)
}
