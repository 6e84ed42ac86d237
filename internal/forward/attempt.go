package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// maxBufferedAnswerBytes bounds an answer that is buffered whole before the caller gets it, so that another replica can still be
	// tried if it is an error or is cut off.
	maxBufferedAnswerBytes = 256 << 10
	// copyBufferBytes is the size of the chunks in which a larger answer is relayed.
	copyBufferBytes = 16 << 10
)

// errSilenceTimeout reports that a replica sent no data within the silence timeout.
var errSilenceTimeout = errors.New("replica is silent")

// sendToReplica sends the request to one replica and relays its answer.
func (e *exchange) sendToReplica(ctx context.Context, handle *replica.Handle) attemptOutcome {
	release := handle.Acquire()
	defer release()
	e.markPromptRead = handle.BeginReading(e.promptTokens)
	defer e.markPromptRead()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.attemptStart = clock.Now()
	silence := e.watchSilence(cancel)
	defer silence.stop()
	e.attemptOrigin = handle.Origin()
	if err := e.checkContinuation(ctx, handle); err != nil {
		return e.handleCallError(ctx, handle, err)
	}
	answer, err := e.handler.client.Do(ctx, handle, e.callFor(handle))
	if err != nil {
		return e.handleCallError(ctx, handle, err)
	}
	e.lastStatus = answer.Status
	consumed := false
	defer func() { answer.Close(consumed) }()
	// A malformed request is answered as the replica answered it: any other would refuse it as well.
	if answer.NotRun && answer.Status != http.StatusBadRequest {
		_, err := io.CopyN(io.Discard, answer.Body, maxBufferedAnswerBytes)
		consumed = errors.Is(err, io.EOF)
		handle.Refused(answer.Status, clock.Now())
		e.logEvent(handle).Int("status", answer.Status).Msg("replica_refused")
		return notRun
	}
	var result attemptOutcome
	result, consumed = e.forwardAnswer(ctx, handle, answer, silence)
	return result
}

// handleCallError records a call that failed without a complete answer, and returns its outcome.
func (e *exchange) handleCallError(ctx context.Context, handle *replica.Handle, err error) attemptOutcome {
	if e.request.Context().Err() != nil {
		return callerGone
	}
	if e.handler.draining.over() {
		e.lastError = err
		return e.endedByStop(errors.Is(err, replica.ErrNotSent))
	}
	if errors.Is(err, replica.ErrEvacuated) {
		e.logEvent(handle).Msg("zone_left")
		return notRun
	}
	if errors.Is(err, replica.ErrLeaving) {
		e.logEvent(handle).Msg("replica_left")
		return notRun
	}
	e.lastError = errors.Join(err, context.Cause(ctx))
	if errors.Is(e.lastError, quarantine.ErrSuspected) {
		if errors.Is(err, replica.ErrNotSent) {
			return notSent
		}
		return e.lossOutcome()
	}
	timedOut := e.endedBySilence()
	if timedOut && handle.AnsweredSince(e.attemptStart) {
		// The replica answers other requests, so it is up and this request is waiting in its queue.
		handle.Rejected(clock.Now())
	} else {
		handle.Failed(clock.Now())
		if timedOut {
			e.silenceDetected = true
			handle.DropKept()
			handle.NoteSilence()
		}
	}
	e.logEvent(handle).Err(e.lastError).Msg("call_failed")
	if errors.Is(err, replica.ErrNotSent) {
		return notSent
	}
	return e.lossOutcome()
}

// endedBySilence reports whether the last attempt ended because the replica sent nothing.
func (e *exchange) endedBySilence() bool {
	return errors.Is(e.lastError, errSilenceTimeout) || errors.Is(e.lastError, syscall.ETIMEDOUT)
}

// lossOutcome is the outcome of a run whose answer was not received to its end.
func (e *exchange) lossOutcome() attemptOutcome {
	if e.headersSent {
		return truncated
	}
	return maybeRun
}

// forwardAnswer relays the answer to the caller; consumed reports whether the whole answer was read.
func (e *exchange) forwardAnswer(ctx context.Context, handle *replica.Handle, answer *replica.Answer, silence *silenceTimer) (result attemptOutcome, consumed bool) {
	succeeded := answer.Status < http.StatusMultipleChoices
	if e.headersSent && !succeeded {
		handle.Failed(clock.Now())
		e.logEvent(handle).Int("status", answer.Status).Msg("resume_failed")
		return truncated, false
	}
	if succeeded && e.route.Kind == route.Stream {
		return e.forwardStream(ctx, handle, answer, silence)
	}
	return e.forwardBody(ctx, handle, answer)
}

// forwardBody relays an answer that is not an event stream. A short one is buffered whole first.
func (e *exchange) forwardBody(ctx context.Context, handle *replica.Handle, answer *replica.Answer) (result attemptOutcome, consumed bool) {
	prefix, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		return e.handleCallError(ctx, handle, err), false
	}
	if len(prefix) <= maxBufferedAnswerBytes {
		buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: prefix}
		if answer.Status >= http.StatusInternalServerError {
			handle.Failed(clock.Now())
			e.errorAnswer = buffered
			return errorAnswered, true
		}
		handle.Succeeded()
		buffered.write(e.writer)
		return delivered, true
	}
	copyHeaders(e.writer.Header(), answer.Header)
	if answer.Length >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	e.writer.WriteHeader(answer.Status)
	e.headersSent = true
	if _, err := e.writer.Write(prefix); err != nil {
		return callerGone, false
	}
	if _, err := io.CopyBuffer(writerOnly{e.writer}, answer.Body, make([]byte, copyBufferBytes)); err != nil {
		if e.request.Context().Err() != nil {
			return callerGone, false
		}
		handle.Failed(clock.Now())
		e.lastError = err
		return truncated, false
	}
	handle.Succeeded()
	return delivered, true
}

// writerOnly hides the other methods of a writer (io.ReaderFrom), so that io.CopyBuffer uses the buffer it is given.
type writerOnly struct{ io.Writer }

// logEvent starts a log line about the request at one replica.
func (e *exchange) logEvent(handle *replica.Handle) *zerolog.Event {
	info := handle.Info()
	return e.handler.logger.Info().Str(logging.FieldRequest, e.id).Str("route", e.route.Name).Str(logging.FieldReplica, info.ID).
		Str("version", info.Version).Stringer("address", info.Address).Dur("after", clock.Since(e.arrived))
}

// bufferedAnswer is a replica's answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedAnswer) write(writer http.ResponseWriter) {
	copyHeaders(writer.Header(), a.header)
	writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	writer.WriteHeader(a.status)
	_, _ = writer.Write(a.body)
}
