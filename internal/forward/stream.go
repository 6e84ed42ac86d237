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

// passStream passes on events as they come, whole ones only, so that another replica can go on behind the last.
func (e *exchange) passStream(ctx context.Context, handle *replica.Handle, answer *replica.Answer, patience *silenceTimer) (result verdict, whole bool) {
	flusher := http.NewResponseController(e.writer)
	reader := eventstream.NewReader(answer.Body)
	for {
		events, err := reader.Next()
		if len(events.Bytes) > 0 {
			patience.heard()
			handle.NoteAnswer()
			e.promptRead()
			e.sendHead(answer)
			if _, failure := e.writer.Write(events.Bytes); failure != nil {
				return callerGone, false
			}
			if failure := flusher.Flush(); failure != nil {
				return callerGone, false
			}
			e.eventsDelivered += events.Count
			if events.LastID != "" {
				e.lastEvent = events.LastID
			}
		}
		if errors.Is(err, io.EOF) {
			e.sendHead(answer)
			handle.Succeeded()
			return delivered, true
		}
		if err != nil {
			return e.failed(ctx, handle, err), false
		}
	}
}

// sendHead sends the head of the first replica's answer, once.
func (e *exchange) sendHead(answer *replica.Answer) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.handler.metrics.firstEvent(e.route.Name, clock.Since(e.arrived))
	e.handler.expectations.of(e.route).observeFirst(clock.Since(e.attemptBegan))
	copyHead(e.writer.Header(), answer.Header)
	e.writer.WriteHeader(answer.Status)
}
