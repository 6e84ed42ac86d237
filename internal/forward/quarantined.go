package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// mostReplicasEnded is the number of ended replicas after which a request is given up, whichever message ended them: a caller who
// waited for that many has hardly any time left.
const mostReplicasEnded = 3

// knownHarmless names the request's message, and says that it is not rejected already, before the request waits for room.
func (e *exchange) knownHarmless() bool {
	if e.handler.quarantine == nil {
		return true
	}
	e.message = quarantine.Message{
		Method: e.request.Method, Host: e.request.Host, Target: targetOf(e.request), Body: e.body,
		PromptParts: e.request.Header.Get(e.handler.headers.PromptParts),
	}.Key()
	return e.handler.quarantine.Check(e.message) != quarantine.Rejected
}

// admit takes the permit of the next attempt; false where the message is kept from replicas.
func (e *exchange) admit(ctx context.Context) bool {
	if e.handler.quarantine == nil {
		return true
	}
	e.releasePermit()
	e.permit = e.handler.quarantine.Admit(ctx, e.message)
	return e.permit.Verdict() != quarantine.Rejected
}

// releasePermit gives back the permit of an attempt that has ended, or was not made.
func (e *exchange) releasePermit() {
	if e.permit != nil {
		e.permit.Release()
		e.permit = nil
	}
}

// pickApart chooses the replica of a suspected message; nil where it is not suspected, or no replica has few requests and no other suspect.
func (e *exchange) pickApart(ctx context.Context) *replica.Handle {
	if e.permit == nil || e.permit.Verdict() != quarantine.Apart {
		return nil
	}
	all := e.handler.directory.View().Of(e.service)
	occupied := slices.Concat(e.tried, e.permit.Occupied(), quarantine.Failing(all, clock.Now()))
	others := quarantine.NotPreferred(e.message, all)
	if handle := e.pickWithin(ctx, append(slices.Clone(occupied), others...), quarantine.ApartOccupancy); handle != nil {
		return handle
	}
	return e.pickWithin(ctx, occupied, quarantine.ApartOccupancy)
}

// pickWithin chooses among the replicas that are not excluded, of whose slots no larger share than maxOccupancy is in use; 0 is no bound.
func (e *exchange) pickWithin(ctx context.Context, excluded []*replica.Handle, maxOccupancy float64) *replica.Handle {
	for {
		handle := e.pick(excluded, maxOccupancy)
		if handle == nil || e.handler.coldStarts == nil || e.handler.coldStarts.Take(handle) {
			return handle
		}
		excluded = append(excluded, handle)
	}
}

// guardedAttempt sends the request to one replica and notes how that ended for the message.
func (e *exchange) guardedAttempt(ctx context.Context, handle *replica.Handle) verdict {
	e.replicaEnded = false
	if e.permit == nil {
		return e.attempt(ctx, handle)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var cut func()
	if e.route.MayRepeat() {
		cut = func() { cancel(quarantine.ErrSuspected) }
	}
	startedBehind := e.lastEvent
	run := e.permit.Begin(handle, cut)
	e.lastStatus, e.lastError = 0, nil
	deliveredBefore := e.eventsDelivered
	last := e.attempt(bounded, handle)
	if e.resumes() {
		run.Progress(deliveredBefore, e.eventsDelivered)
	}
	e.replicaEnded = run.End(ctx, e.ending(bounded, last, startedBehind))
	return last
}

// ending is what the attempt says of the message. Only a run from the beginning shows that the message is harmless.
func (e *exchange) ending(ctx context.Context, last verdict, startedBehind string) quarantine.Ending {
	switch {
	case last == delivered && startedBehind == "" && e.lastStatus < http.StatusMultipleChoices:
		return quarantine.Whole
	case last == callerGone, ctx.Err() != nil && last != delivered && last != notRun && last != notSent:
		return quarantine.Left
	case last != maybeRun && last != brokenOff, e.lastError == nil:
		return quarantine.Other
	case e.silent():
		return quarantine.Left
	case e.resumes() && e.lastEvent != startedBehind:
		return quarantine.Interrupted
	default:
		return quarantine.Lost
	}
}

// countRun counts an attempt that may have run. One whose replica ended costs the request none of its attempts.
func (e *exchange) countRun(handle *replica.Handle) {
	if e.replicaEnded {
		e.endedRuns = append(e.endedRuns, endedRun{handle: handle, foundAt: clock.Now()})
		e.event(handle).Int("runs", e.runs).Int("replicas_ended", len(e.endedRuns)).Msg("run_not_counted")
		return
	}
	e.runs++
}

// endedRun is an attempt whose replica was found to have ended.
type endedRun struct {
	handle  *replica.Handle
	foundAt time.Time
}

// spentAttempts counts the runs that cost the request an attempt. That a replica ended is concluded from a connection that it refused: one
// that has answered since lives, and has run the request.
func (e *exchange) spentAttempts() int {
	spent := e.runs
	for _, each := range e.endedRuns {
		if each.handle.AnsweredSince(each.foundAt) {
			spent++
		}
	}
	return spent
}
