package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
)

// conclude gives the caller the final answer to a request that was not delivered.
func (e *exchange) conclude(ctx context.Context, last verdict, reason string) {
	handler := e.handler
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if late {
		reason = "deadline"
	}
	handler.metrics.finished(e.route.Name, false, clock.Since(e.arrived))
	if e.runs+len(e.endedRuns) == 0 && handler.quota != nil && e.terms.Tenant != nil {
		handler.quota.GiveBack(e.terms.Tenant)
	}
	handler.logger.Info().Str(logging.FieldRequest, e.id).Str("route", e.route.Name).Str(logging.FieldReason, reason).
		Stringer("digest", e.message).Int("runs", e.runs).Int("replicas_ended", len(e.endedRuns)).Int("refusals", e.refusals).Stringer("verdict", last).Str("last_event", e.lastEvent).Bool("head_sent", e.headSent).
		Dur("after", clock.Since(e.arrived)).Msg("not_delivered")
	switch {
	case e.headSent:
		// The connection is closed without the answer's end, so that the caller does not take it for whole.
		panic(http.ErrAbortHandler)
	case e.badAnswer != nil:
		e.badAnswer.write(e.writer)
	case reason == quarantine.ReasonRejected:
		// Neither a promise that the message has not run, nor a time to come back.
		http.Error(e.writer, reason, http.StatusBadGateway)
	case e.runs+len(e.endedRuns) == 0:
		SetRetryAfter(e.writer.Header(), retryAfter(reason))
		http.Error(e.writer, reason, http.StatusServiceUnavailable)
	case late:
		http.Error(e.writer, reason, http.StatusGatewayTimeout)
	default:
		http.Error(e.writer, reason, http.StatusBadGateway)
	}
}
