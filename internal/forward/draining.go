package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/route"
)

// reasonLeaving is the reason for which a process that stops rejects or ends a request.
const reasonLeaving = "leaving"

// draining is the state of a planned stop. The zero value is not usable; see newDraining.
type draining struct {
	// answerBy is when EndRequests will be called; nil until the stop begins.
	answerBy atomic.Pointer[time.Time]
	// ended ends with EndRequests.
	ended context.Context
	end   context.CancelFunc
}

func newDraining() *draining {
	ended, end := context.WithCancel(context.Background())
	return &draining{ended: ended, end: end}
}

// Drain begins a planned stop: every later answer closes its connection, so that callers reconnect to another process, and a request that
// may run once only is rejected unless it ends within the given time for sure.
func (h *Handler) Drain(within time.Duration) {
	answerBy := clock.Now().Add(within)
	h.draining.answerBy.Store(&answerBy)
}

// EndRequests ends the requests in flight: each that its caller has received nothing of is answered.
func (h *Handler) EndRequests() { h.draining.end() }

// begun reports whether the process stops.
func (d *draining) begun() bool { return d.answerBy.Load() != nil }

// over reports whether EndRequests was called.
func (d *draining) over() bool { return d.ended.Err() != nil }

// mayOutlast reports whether a request that may run once only could still be running when the process ends.
func (d *draining) mayOutlast(matched *route.Route, deadline time.Time) bool {
	answerBy := d.answerBy.Load()
	return answerBy != nil && !matched.MayRepeat() && deadline.After(*answerBy)
}

// RefuseLeaving answers a request that comes too late in a planned stop. It has not run, and another process may serve it at once.
func (h *Handler) RefuseLeaving(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Connection", "close")
	h.refuse(writer, request, reasonLeaving, retryAfterLeaving)
}

// requestContext returns the context of a request, which ends at its deadline or with the process.
func (h *Handler) requestContext(request *http.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(request.Context(), clock.Until(deadline))
	unlink := context.AfterFunc(h.draining.ended, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// endedByStop returns the outcome of an attempt that the end of the process has cut off: that says nothing about its replica.
func (e *exchange) endedByStop(notSentYet bool) attemptOutcome {
	e.handler.logger.Info().Str(logging.FieldRequest, e.id).Bool("sent", !notSentYet).Msg("ended_by_stop")
	if notSentYet {
		return notSent
	}
	return e.lossOutcome()
}
