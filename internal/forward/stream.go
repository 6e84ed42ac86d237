package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/eventstream"
	"github.com/sloelift/sloelift/internal/replica"
)

// forwardStream relays events as they arrive, complete events only, so that another replica can resume after the last one.
func (e *exchange) forwardStream(ctx context.Context, handle *replica.Handle, answer *replica.Answer, silence *silenceTimer) (result attemptOutcome, consumed bool) {
	flusher := http.NewResponseController(e.writer)
	reader := eventstream.NewReader(answer.Body)
	first := true
	for {
		events, err := reader.Next()
		if len(events.Bytes) > 0 {
			if first {
				first = false
				e.noteFirstEvent(handle)
			}
			silence.eventReceived()
			handle.NoteAnswer()
			e.markPromptRead()
			e.sendHeaders(answer)
			if _, writeErr := e.writer.Write(events.Bytes); writeErr != nil {
				return callerGone, false
			}
			if flushErr := flusher.Flush(); flushErr != nil {
				return callerGone, false
			}
			e.eventsDelivered += events.Count
			if e.noteEvents != nil {
				e.noteEvents(events.Count)
			}
			if events.LastID != "" {
				e.lastEventID = events.LastID
			}
		}
		if errors.Is(err, io.EOF) {
			e.sendHeaders(answer)
			handle.Succeeded()
			return delivered, true
		}
		if err != nil {
			return e.handleCallError(ctx, handle, err), false
		}
	}
}

// noteFirstEvent notes the first event of a run, which began the stream or went on with it.
func (e *exchange) noteFirstEvent(handle *replica.Handle) {
	if e.lastEventID != "" {
		e.reportResumed(handle)
	}
	if !e.headersSent {
		e.recordOrigin()
	}
}

// reportResumed logs and counts that the stream goes on with a run of handle: within this answer, or at the request of its caller.
func (e *exchange) reportResumed(handle *replica.Handle) {
	resumedBy := resumedByCaller
	if e.headersSent {
		resumedBy = resumedByEdge
	}
	e.handler.metrics.countResumed(e.route.Name, resumedBy)
	e.logEvent(handle).Str("by", resumedBy).Str("resumes", e.request.Header.Get(e.handler.headers.Resumes)).
		Str("last_event", e.lastEventID).Msg("stream_resumed")
}

// sendHeaders sends the caller the header of the first replica's answer, once.
func (e *exchange) sendHeaders(answer *replica.Answer) {
	if e.headersSent {
		return
	}
	e.headersSent = true
	e.handler.metrics.observeFirstEvent(e.route.Name, clock.Since(e.arrived))
	e.handler.estimates.forRoute(e.route).observeFirstEvent(clock.Since(e.attemptStart))
	copyHeaders(e.writer.Header(), answer.Header)
	e.writer.WriteHeader(answer.Status)
}
