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
	// maxHeldAnswer bounds an answer that is read whole before the caller gets it, so that another replica can be tried.
	maxHeldAnswer = 256 << 10
	// copyBufferBytes is the size of the pieces in which an answer is passed on.
	copyBufferBytes = 16 << 10
)

// errSilent says that a replica sent nothing for too long.
var errSilent = errors.New("replica is silent")

// errUnsigned says that a success came without the replica's signature: its head may have been cut short.
var errUnsigned = errors.New("answer is not signed")

// attempt sends the request to one replica and passes its answer on.
func (e *exchange) attempt(ctx context.Context, handle *replica.Handle) verdict {
	release := handle.Acquire()
	defer release()
	e.promptRead = handle.BeginReading(e.promptTokens)
	defer e.promptRead()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.attemptBegan = clock.Now()
	patience := e.watchSilence(cancel)
	defer patience.stop()
	answer, err := e.handler.client.Do(ctx, handle, e.callFor(handle))
	if err != nil {
		return e.failed(ctx, handle, err)
	}
	e.lastStatus = answer.Status
	whole := false
	defer func() { answer.Close(whole) }()
	if refused(answer, e.handler.headers) {
		_, err := io.CopyN(io.Discard, answer.Body, maxHeldAnswer)
		whole = errors.Is(err, io.EOF)
		handle.Refused(answer.Status, clock.Now())
		e.event(handle).Int("status", answer.Status).Msg("replica_refused")
		return notRun
	}
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices && answer.Header.Get(e.handler.headers.Signature) == "" {
		handle.Failed(clock.Now())
		e.lastError = errUnsigned
		e.event(handle).Int("status", answer.Status).Msg("answer_unsigned")
		return e.afterLoss()
	}
	var result verdict
	result, whole = e.passOn(ctx, handle, answer, patience)
	return result
}

// refused says that the answer promises that the request has not run.
func refused(answer *replica.Answer, headers replica.Headers) bool {
	if answer.Status == http.StatusMisdirectedRequest {
		return true
	}
	return answer.Header.Get(headers.NotRun) != "" && answer.Status != http.StatusBadRequest
}

// failed judges a call without an answer.
func (e *exchange) failed(ctx context.Context, handle *replica.Handle, err error) verdict {
	if e.request.Context().Err() != nil {
		return callerGone
	}
	if errors.Is(err, replica.ErrEvacuated) {
		e.event(handle).Msg("zone_left")
		return notRun
	}
	e.lastError = errors.Join(err, context.Cause(ctx))
	if errors.Is(e.lastError, quarantine.ErrSuspected) {
		if errors.Is(err, replica.ErrNotSent) {
			return notSent
		}
		return e.afterLoss()
	}
	silent := e.silent()
	if silent && handle.AnsweredSince(e.attemptBegan) {
		// It answers others: it is not down, the request waits there for its turn.
		handle.Rejected(clock.Now())
	} else {
		handle.Failed(clock.Now())
		if silent {
			e.foundSilence = true
			handle.DropKept()
			handle.Silent()
		}
	}
	e.event(handle).Err(e.lastError).Msg("call_failed")
	if errors.Is(err, replica.ErrNotSent) {
		return notSent
	}
	return e.afterLoss()
}

// silent says that the last attempt ended since nothing came.
func (e *exchange) silent() bool {
	return errors.Is(e.lastError, errSilent) || errors.Is(e.lastError, syscall.ETIMEDOUT)
}

// afterLoss is the verdict on a run whose answer did not come to its end.
func (e *exchange) afterLoss() verdict {
	if e.headSent {
		return brokenOff
	}
	return maybeRun
}

// passOn gives the caller the answer; whole says that all of it was read.
func (e *exchange) passOn(ctx context.Context, handle *replica.Handle, answer *replica.Answer, patience *silenceTimer) (result verdict, whole bool) {
	succeeded := answer.Status < http.StatusMultipleChoices
	if e.headSent && !succeeded {
		handle.Failed(clock.Now())
		e.event(handle).Int("status", answer.Status).Msg("resume_failed")
		return brokenOff, false
	}
	if succeeded && e.route.Kind == route.Stream {
		return e.passStream(ctx, handle, answer, patience)
	}
	return e.passBody(ctx, handle, answer)
}

// passBody passes on an answer that is not a stream of events. A short one is read whole first.
func (e *exchange) passBody(ctx context.Context, handle *replica.Handle, answer *replica.Answer) (result verdict, whole bool) {
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldAnswer+1))
	if err != nil {
		return e.failed(ctx, handle, err), false
	}
	if len(held) <= maxHeldAnswer {
		complete := &wholeAnswer{status: answer.Status, header: answer.Header, body: held}
		if answer.Status >= http.StatusInternalServerError {
			handle.Failed(clock.Now())
			e.badAnswer = complete
			return answeredBadly, true
		}
		handle.Succeeded()
		complete.write(e.writer)
		return delivered, true
	}
	copyHead(e.writer.Header(), answer.Header)
	if answer.Length >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	e.writer.WriteHeader(answer.Status)
	e.headSent = true
	if _, err := e.writer.Write(held); err != nil {
		return callerGone, false
	}
	if _, err := io.CopyBuffer(onlyWriter{e.writer}, answer.Body, make([]byte, copyBufferBytes)); err != nil {
		if e.request.Context().Err() != nil {
			return callerGone, false
		}
		handle.Failed(clock.Now())
		e.lastError = err
		return brokenOff, false
	}
	handle.Succeeded()
	return delivered, true
}

// onlyWriter hides other methods of a writer, so that a copy goes through its own buffer.
type onlyWriter struct{ io.Writer }

// event begins a log line about the request at one replica.
func (e *exchange) event(handle *replica.Handle) *zerolog.Event {
	info := handle.Info()
	return e.handler.logger.Info().Str(logging.FieldRequest, e.id).Str("route", e.route.Name).Str(logging.FieldReplica, info.ID).
		Stringer("address", info.Address).Dur("after", clock.Since(e.arrived))
}

// wholeAnswer is a replica's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *wholeAnswer) write(writer http.ResponseWriter) {
	copyHead(writer.Header(), a.header)
	writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	writer.WriteHeader(a.status)
	_, _ = writer.Write(a.body)
}
