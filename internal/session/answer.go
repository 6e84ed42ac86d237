package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
)

// finishCancelled is the finish reason of an engine run that was cancelled.
const finishCancelled = "cancelled"

// errRunCancelled is the error of a stream that ended because the engine cancelled the run.
var errRunCancelled = errors.New("the engine cancelled the run")

// errAnswerTooLong ends a request whose answer exceeds maxAnswerBytes of memory.
var errAnswerTooLong = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// reasonAnswerTooLong is the reason reported to the caller with errAnswerTooLong.
const reasonAnswerTooLong outcome.Reason = "answer_too_long"

// errSink marks an error returned by the sink, which means that the caller disconnected.
var errSink = errors.New("writing the answer to the caller failed")

// answer is the state of one request in flight. Only the goroutine of Run uses it.
type answer struct {
	runner  *EngineRunner
	request *Request
	sink    Sink
	clock   tokenClock
	// offset is the number of tokens that the caller has received; prior is their text, which
	// is complete only if priorKnown is true.
	offset     int
	prior      strings.Builder
	priorKnown bool
	// chunkEnds holds the boundaries of the first chunks since the caller reconnected, while
	// priorKnown is false.
	chunkEnds []boundary
	finish    string
	usage     engine.Usage
	// mayHaveRun is set once an engine may have started the request; from then on NotRun is
	// never reported.
	mayHaveRun bool
	exclude    map[string]bool
	// prefixBlocks is computed once and used for all routing decisions.
	prefixBlocks []uint64
}

func newAnswer(runner *EngineRunner, request *Request, sink Sink, clock tokenClock) *answer {
	a := &answer{
		runner:     runner,
		request:    request,
		sink:       sink,
		clock:      clock,
		offset:     request.Offset,
		priorKnown: request.Offset == 0 || request.Prior != "",
		mayHaveRun: request.Reconnects(),
	}
	a.prior.WriteString(request.Prior)
	if !a.priorKnown {
		a.chunkEnds = []boundary{{offset: a.offset}}
	}
	return a
}

// prependPrior prepends the text that the caller received before it reconnected, as read by
// reader, to the text received since.
func (a *answer) prependPrior(reader *priorReader) {
	reader.stop()
	received := a.prior.String()
	prior, found := reader.textBefore(received, a.chunkEnds)
	if !found {
		return
	}
	a.prior.Reset()
	a.prior.WriteString(prior)
	a.prior.WriteString(received)
	a.priorKnown, a.chunkEnds = true, nil
}

// pick chooses a replica for the next attempt. The caller must call the returned function
// when the attempt ends.
func (a *answer) pick() (routing.Decision, func(), error) {
	if a.prefixBlocks == nil {
		a.prefixBlocks = engine.PrefixBlocks(a.request.Model, a.request.Adapter, a.request.Prompt)
	}
	return a.runner.Router.Pick(routing.Request{
		ID:           a.request.ID,
		Service:      a.request.Service.Name,
		Model:        a.request.Model,
		Adapter:      a.request.Adapter,
		PrefixBlocks: a.prefixBlocks,
		PromptBytes:  len(a.request.Prompt),
		MaxTokens:    a.request.MaxTokens,
		Exclude:      a.exclude,
	})
}

func (a *answer) excludeReplica(replica string) {
	if a.exclude == nil {
		a.exclude = map[string]bool{}
	}
	a.exclude[replica] = true
}

// callEngine opens a stream on one replica and forwards it until it ends. opened is false if
// no stream was opened. A hanging engine is reported as failed and returned as errStalled.
func (a *answer) callEngine(ctx context.Context, to engine.Endpoint, attachOnly bool) (opened bool, err error) {
	monitor := newWatchdog(ctx, a.runner.Client, to)
	defer monitor.stop()
	stream, err := a.open(monitor.ctx, to, attachOnly)
	if err == nil {
		opened = true
		err = a.forwardStream(stream, to.Replica, monitor)
	}
	if err != nil && monitor.stalled() {
		a.runner.Reporter.ReportFailure(to.Replica)
		err = fmt.Errorf("%w: %s at token %d", errStalled, to.Replica, a.offset)
	}
	return opened, err
}

// open starts, resumes or attaches to the run on one replica. It sets mayHaveRun if the engine
// may have started the run, and reports a replica that the request could not be sent to.
func (a *answer) open(ctx context.Context, to engine.Endpoint, attachOnly bool) (engine.Stream, error) {
	request := a.engineRequest()
	request.AttachOnly = attachOnly
	if !attachOnly {
		request.Prior = a.prior.String()
	}
	stream, err := a.runner.Client.Generate(ctx, to, request)
	switch {
	case err == nil || errorx.IsOfType(err, engine.KindLost):
		a.mayHaveRun = true
	case errorx.IsOfType(err, engine.KindNotSent) && ctx.Err() == nil:
		a.runner.Reporter.ReportFailure(to.Replica)
	}
	return stream, err
}

// engineRequest returns a request for the tokens after the caller's offset.
func (a *answer) engineRequest() engine.Request {
	return engine.Request{
		ID:        a.request.ID,
		Operation: a.request.Operation,
		Body:      a.request.Body,
		Model:     engine.JoinModel(a.request.Model, a.request.Adapter),
		BodyReady: a.request.BodyReady,
		Priority:  a.request.Priority.Rank,
		Offset:    a.offset,
	}
}

// forwardStream forwards the stream to the caller until it ends. Its error is errSink,
// errRunCancelled, errAnswerTooLong or of an engine kind.
func (a *answer) forwardStream(stream engine.Stream, replica string, monitor *watchdog) error {
	defer stream.Close()
	for first := true; ; first = false {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			a.runner.Reporter.ReportSuccess(replica)
		}
		monitor.progress()
		if err := a.forwardChunk(Chunk{Chunk: chunk, Replica: replica}); err != nil {
			return err
		}
	}
}

// forwardChunk checks one chunk's offset, stores its text and passes it to the caller.
func (a *answer) forwardChunk(chunk Chunk) error {
	if chunk.Offset != a.offset {
		return engine.KindLost.New("the stream's next chunk starts at token %d, want token %d", chunk.Offset, a.offset)
	}
	if chunk.FinishReason == finishCancelled {
		return fmt.Errorf("%s at token %d: %w", chunk.Replica, a.offset, errRunCancelled)
	}
	if a.prior.Len()+len(chunk.Text) > maxAnswerBytes {
		return errAnswerTooLong
	}
	if err := a.sink(chunk); err != nil {
		return errors.Join(errSink, err)
	}
	a.clock.observe(chunk.Tokens)
	a.offset += chunk.Tokens
	a.prior.WriteString(chunk.Text)
	if !a.priorKnown && len(a.chunkEnds) <= priorReadAhead {
		a.chunkEnds = append(a.chunkEnds, boundary{offset: a.offset, bytes: a.prior.Len()})
	}
	if chunk.FinishReason != "" {
		a.finish = chunk.FinishReason
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	return nil
}

// finalError returns the error reported to the caller when no further attempt is made after cause.
func (a *answer) finalError(ctx context.Context, cause error) error {
	if terminal := a.terminalError(ctx, cause); terminal != nil {
		return terminal
	}
	if a.mayHaveRun {
		return outcome.Wrap(cause, outcome.Indeterminate, outcome.ReasonEngineFailed, "the answer was lost and could not be resumed")
	}
	var typed *outcome.Error
	if errors.As(cause, &typed) {
		return typed
	}
	reason := outcome.ReasonUnavailable
	if errorx.IsOfType(cause, engine.KindRefused) {
		reason = outcome.ReasonOverloaded
	}
	return outcome.Wrap(cause, outcome.NotRun, reason, "no replica took the request").After(defaultRetryAfter)
}

// terminalError returns the error of a request that no further attempt can complete, and nil if
// cause may be retried.
func (a *answer) terminalError(ctx context.Context, cause error) error {
	if errors.Is(cause, errSink) {
		return outcome.Wrap(cause, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away")
	}
	if errors.Is(cause, errAnswerTooLong) {
		return outcome.Wrap(cause, outcome.Failed, reasonAnswerTooLong, errAnswerTooLong.Error())
	}
	if errorx.IsOfType(cause, engine.KindInvalid) {
		if a.offset > 0 {
			return outcome.Wrap(cause, outcome.Indeterminate, outcome.ReasonEngineFailed, "the answer could not be resumed")
		}
		return outcome.Wrap(cause, outcome.Failed, outcome.ReasonInvalid, "the engine found the request invalid")
	}
	if ctx.Err() == nil {
		return nil
	}
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return outcome.Wrap(context.Cause(ctx), outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away")
	}
	result := outcome.NotRun
	if a.mayHaveRun {
		result = outcome.Indeterminate
	}
	return outcome.Wrap(cause, result, outcome.ReasonDeadline, errDeadline.Error())
}
