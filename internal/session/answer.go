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

// errRunCancelled marks a stream that ended because the engine cancelled the run.
var errRunCancelled = errors.New("the engine cancelled the run")

// errAnswerTooLong ends an answer that would take more than maxAnswerBytes of memory.
var errAnswerTooLong = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// reasonAnswerTooLong is told with it.
const reasonAnswerTooLong outcome.Reason = "answer_too_long"

// errSink marks an error that the sink returned: the caller went away.
var errSink = errors.New("the caller does not take the answer")

// answer is the state of one request while it runs. It belongs to the goroutine of Run.
type answer struct {
	runner  *EngineRunner
	request *Request
	sink    Sink
	clock   tokenClock
	// offset is the number of tokens that the caller has; prior is their text, which is
	// whole only while priorKnown.
	offset     int
	prior      strings.Builder
	priorKnown bool
	finish     string
	usage      engine.Usage
	// mayHaveRun is set once an engine may have started the request; NotRun is never
	// told after that.
	mayHaveRun bool
	exclude    map[string]bool
	// prefixBlocks is computed once for all picks.
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
	return a
}

// pick chooses a replica for the next attempt.
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

// callEngine opens a stream on one replica and follows it to its end. opened is false where
// there was no stream. An engine that hangs is reported and told as errStalled.
func (a *answer) callEngine(ctx context.Context, to engine.Endpoint, attachOnly bool) (opened bool, err error) {
	dog := watch(ctx, a.runner.Client, to)
	defer dog.stop()
	stream, err := a.open(dog.ctx, to, attachOnly)
	if err == nil {
		opened = true
		err = a.follow(stream, to.Replica, dog)
	}
	if err != nil && dog.stalled() {
		a.runner.Reporter.ReportFailure(to.Replica)
		err = fmt.Errorf("%w: %s at token %d", errStalled, to.Replica, a.offset)
	}
	return opened, err
}

// open starts, resumes or attaches to the run on one replica and notes what is known of it.
func (a *answer) open(ctx context.Context, to engine.Endpoint, attachOnly bool) (engine.Stream, error) {
	request := engine.Request{
		ID:         a.request.ID,
		Operation:  a.request.Operation,
		Body:       a.request.Body,
		Model:      engine.JoinModel(a.request.Model, a.request.Adapter),
		BodyReady:  a.request.BodyReady,
		Priority:   a.request.Priority.Rank,
		Offset:     a.offset,
		AttachOnly: attachOnly,
	}
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

// follow passes the stream on to its end. Its error is errSink or of an engine kind.
func (a *answer) follow(stream engine.Stream, replica string, dog *watchdog) error {
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
		dog.progress()
		if err := a.take(Chunk{Chunk: chunk, Replica: replica}); err != nil {
			return err
		}
	}
}

// take checks one chunk's place, keeps its text and hands it to the caller.
func (a *answer) take(chunk Chunk) error {
	if chunk.Offset != a.offset {
		return engine.KindLost.New("chunk of token %d where token %d was due", chunk.Offset, a.offset)
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
	if chunk.FinishReason != "" {
		a.finish = chunk.FinishReason
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	return nil
}

// failure is the error told when no further attempt is made.
func (a *answer) failure(ctx context.Context, cause error) error {
	if ended := a.endOf(ctx, cause); ended != nil {
		return ended
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

// endOf is the error of an end that no further attempt can mend; nil for others.
func (a *answer) endOf(ctx context.Context, cause error) error {
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
	known := outcome.NotRun
	if a.mayHaveRun {
		known = outcome.Indeterminate
	}
	return outcome.Wrap(cause, known, outcome.ReasonDeadline, errDeadline.Error())
}
