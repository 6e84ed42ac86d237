package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/prompt"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// maxEndedReplicas is the number of ended replicas up to which a request is sent again, whichever message ended them: a caller that waited
// for more has hardly any time left.
const maxEndedReplicas = 3

// passesQuarantine computes the key of the request's message, and reports whether the message is not rejected. It is called before the
// request waits for capacity, so that a known message is rejected at once.
func (e *exchange) passesQuarantine() bool {
	if e.handler.quarantine == nil {
		return true
	}
	promptParts := e.request.Header.Get(e.handler.headers.PromptParts)
	e.messageKey = quarantine.Message{
		Method: e.request.Method, Host: e.request.Host, Target: targetOf(e.request), Body: e.body, PromptParts: promptParts,
	}.Key()
	e.partKeys = quarantine.PartKeys(prompt.ParseParts(promptParts))
	return e.handler.quarantine.Check(e.messageKey, e.partKeys...) != quarantine.Rejected
}

// acquirePermit obtains the permit of the next attempt; it returns false if the message is rejected.
func (e *exchange) acquirePermit(ctx context.Context) bool {
	if e.handler.quarantine == nil {
		return true
	}
	e.releasePermit()
	e.permit = e.handler.quarantine.Admit(ctx, e.messageKey, e.partKeys...)
	return e.permit.Verdict() != quarantine.Rejected
}

// releasePermit releases the permit of an attempt that has ended, or was not made.
func (e *exchange) releasePermit() {
	if e.permit != nil {
		e.permit.Release()
		e.permit = nil
	}
}

// pickForSuspect chooses a replica for a suspected message: one with few requests and no other suspect. It returns nil if the message is
// not suspected, or if there is no such replica.
func (e *exchange) pickForSuspect(ctx context.Context) *replica.Handle {
	if e.permit == nil || e.permit.Verdict() != quarantine.Apart {
		return nil
	}
	all := e.handler.directory.View().ForService(e.service)
	occupied := slices.Concat(e.tried, e.permit.Occupied(), quarantine.RecentlyFailed(all, clock.Now()))
	others := quarantine.NotPreferred(e.messageKey, all)
	if handle := e.pickWithColdLimit(ctx, append(slices.Clone(occupied), others...), quarantine.ApartOccupancy); handle != nil {
		return handle
	}
	return e.pickWithColdLimit(ctx, occupied, quarantine.ApartOccupancy)
}

// pickWithColdLimit chooses among the replicas that are not excluded, have at most the share maxOccupancy of their slots in use (0 sets no
// bound), and may get one more request by the limit on cold replicas.
func (e *exchange) pickWithColdLimit(ctx context.Context, excluded []*replica.Handle, maxOccupancy float64) *replica.Handle {
	for {
		handle := e.pick(excluded, maxOccupancy)
		if handle == nil || e.handler.coldStarts == nil || e.handler.coldStarts.Take(handle) {
			return handle
		}
		excluded = append(excluded, handle)
	}
}

// quarantinedAttempt sends the request to one replica and reports the outcome to the quarantine.
func (e *exchange) quarantinedAttempt(ctx context.Context, handle *replica.Handle) attemptOutcome {
	e.replicaEnded = false
	if e.permit == nil {
		return e.sendToReplica(ctx, handle)
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var cancelRun func()
	if e.route.MayRepeat() {
		cancelRun = func() { cancel(quarantine.ErrSuspected) }
	}
	resumedAfter := e.lastEventID
	run := e.permit.Begin(handle, cancelRun)
	e.noteEvents = run.Received
	e.lastStatus, e.lastError = 0, nil
	eventsBefore := e.eventsDelivered
	outcome := e.sendToReplica(runCtx, handle)
	if e.canResume() {
		run.Progress(eventsBefore, e.eventsDelivered)
	}
	e.replicaEnded = run.End(ctx, e.quarantineEnding(runCtx, outcome, resumedAfter))
	return outcome
}

// quarantineEnding returns what the attempt shows about the message. Only a run from the beginning can show that it is harmless.
func (e *exchange) quarantineEnding(ctx context.Context, outcome attemptOutcome, resumedAfter string) quarantine.Ending {
	switch {
	case outcome == delivered && resumedAfter == "" && e.lastStatus < http.StatusMultipleChoices:
		return quarantine.Whole
	case outcome == callerGone, ctx.Err() != nil && outcome != delivered && outcome != notRun && outcome != notSent:
		return quarantine.Aborted
	case outcome != maybeRun && outcome != truncated, e.lastError == nil:
		return quarantine.Other
	case e.endedBySilence():
		return quarantine.Aborted
	case e.canResume() && e.lastEventID != resumedAfter:
		return quarantine.Interrupted
	default:
		return quarantine.Lost
	}
}

// countRun counts an attempt that may have run, except one whose replica ended: that does not count against the route's attempts.
func (e *exchange) countRun(handle *replica.Handle) {
	if e.replicaEnded {
		e.uncountedRuns = append(e.uncountedRuns, uncountedRun{handle: handle, concludedAt: clock.Now()})
		e.logEvent(handle).Int("runs", e.runs).Int("replicas_ended", len(e.uncountedRuns)).Msg("run_not_counted")
		return
	}
	e.runs++
}

// uncountedRun is an attempt whose replica was found to have ended.
type uncountedRun struct {
	handle      *replica.Handle
	concludedAt time.Time
}

// spentAttempts returns the number of runs that count against the route's attempts. A refused connection is taken as evidence that the
// replica ended: one that has answered since is alive, and its run counts after all.
func (e *exchange) spentAttempts() int {
	spent := e.runs
	for _, run := range e.uncountedRuns {
		if run.handle.AnsweredSince(run.concludedAt) {
			spent++
		}
	}
	return spent
}
