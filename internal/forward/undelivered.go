package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
)

// answerUndelivered sends the caller the final answer to a request that was not delivered.
func (e *exchange) answerUndelivered(ctx context.Context, outcome attemptOutcome, reason string) {
	handler := e.handler
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case deadlineExceeded:
		reason = "deadline"
	case handler.draining.over():
		reason = reasonLeaving
	}
	handler.metrics.observeFinished(e.route.Name, false, clock.Since(e.arrived))
	if e.runs+len(e.uncountedRuns) == 0 && handler.quota != nil && e.auth.Tenant != nil {
		handler.quota.GiveBack(e.auth.Tenant)
	}
	handler.logger.Info().Str(logging.FieldRequest, e.id).Str("route", e.route.Name).Str(logging.FieldReason, reason).
		Stringer("digest", e.messageKey).Int("runs", e.runs).Int("replicas_ended", len(e.uncountedRuns)).Int("refusals", e.refusals).
		Stringer("verdict", outcome).Str("last_event", e.lastEventID).Bool("head_sent", e.headersSent).
		Dur("after", clock.Since(e.arrived)).Msg("not_delivered")
	switch {
	case e.headersSent:
		// Closes the connection before the end of the answer, so that the caller does not take it for complete.
		panic(http.ErrAbortHandler)
	case e.errorAnswer != nil:
		e.errorAnswer.write(e.writer)
	case reason == quarantine.ReasonRejected:
		// The message may have run, so the status is not 503, and there is no Retry-After, which would invite a retry.
		http.Error(e.writer, reason, http.StatusBadGateway)
	case e.runs+len(e.uncountedRuns) == 0:
		SetRetryAfter(e.writer.Header(), retryAfter(reason))
		http.Error(e.writer, reason, http.StatusServiceUnavailable)
	case deadlineExceeded:
		http.Error(e.writer, reason, http.StatusGatewayTimeout)
	default:
		http.Error(e.writer, reason, http.StatusBadGateway)
	}
}
