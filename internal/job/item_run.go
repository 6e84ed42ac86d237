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
	// cancelTimeout bounds the cancel of a run at its engine.
	cancelTimeout = 2 * time.Second
	// attachWindow is how long an engine keeps the output of a run that ended; a
	// lost run that can't be reached for as long is given up.
	attachWindow = 60 * time.Second
	// excludeTimeout is how long an item waits for another replica than the one that failed it.
	excludeTimeout = 3 * time.Second
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
	// release gives the credit back, at the first call; nil where there is none.
	release func()
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
	credit, err := r.acquire()
	if err != nil {
		if r.wait.Err() != nil {
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

// acquire waits for a credit. A replica that failed the item is kept out for a while
// only, because there may be no other.
func (r *itemRun) acquire() (*admission.Credit, error) {
	if r.progress.exclude == nil {
		return r.dispatcher.credits.Acquire(r.wait, r.creditRequest())
	}
	ctx, cancel := context.WithTimeout(r.wait, excludeTimeout)
	defer cancel()
	credit, err := r.dispatcher.credits.Acquire(ctx, r.creditRequest())
	if err == nil || r.wait.Err() != nil {
		return credit, err
	}
	r.progress.exclude = nil
	return r.dispatcher.credits.Acquire(r.wait, r.creditRequest())
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
	if r.job.notRepeatable {
		return r.generateMarked(to)
	}
	requestID := r.requestID()
	streamContext, cancel := context.WithCancelCause(r.job.ctx)
	defer cancel(nil)
	go cancelOnRevoke(streamContext, credit.Revoked, cancel)
	stream, err := r.open(streamContext, to, requestID, false)
	if err == nil {
		err = r.consume(stream)
	}
	return r.conclude(streamContext, to, requestID, err)
}

// generateMarked records the attempt before it calls the engine. The run keeps going when
// the credit is taken back; the engine's priority still holds.
func (r *itemRun) generateMarked(to engine.Endpoint) *itemProgress {
	requestID := r.requestID()
	if !r.job.partition.attempts.begin() {
		// The next owner runs the item.
		return nil
	}
	if err := r.job.partition.propose(r.job.ctx, r.job.attemptRecord(r.key.index, requestID, to)); err != nil {
		r.job.partition.attempts.finish()
		return r.retryLater(err, "attempt_not_recorded")
	}
	stream, err := r.open(r.job.ctx, to, requestID, false)
	if isNotRun(err) || errors.Is(err, errNotConfirmed) {
		// Best effort: a next owner that finds the attempt would ask for its run in vain.
		_ = r.job.partition.propose(r.job.ctx, r.job.voidRecord(r.key.index))
	}
	r.job.partition.attempts.finish()
	if err == nil {
		err = r.consume(stream)
	}
	return r.conclude(r.job.ctx, to, requestID, err)
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

// logger returns a warning of this item.
func (r *itemRun) logger() *zerolog.Event {
	return r.dispatcher.logger.Warn().Str(logging.FieldJob, r.job.id).Int("item", r.key.index)
}
