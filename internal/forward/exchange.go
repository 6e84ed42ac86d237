package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// verdict is how one attempt at a replica ended.
type verdict int

const (
	// delivered: the caller has the whole answer.
	delivered verdict = iota
	// notRun: the replica did not run the request and will not.
	notRun
	// notSent: the replica was not reached, so that no byte was sent.
	notSent
	// maybeRun: the request may have run, and the caller has no byte of an answer.
	maybeRun
	// answeredBadly: the replica's whole answer is a failure that another replica may do better.
	answeredBadly
	// brokenOff: the caller has a part of the answer.
	brokenOff
	// callerGone: the caller left.
	callerGone
)

var verdictNames = map[verdict]string{
	delivered: "delivered", notRun: "not_run", notSent: "not_sent", maybeRun: "maybe_run", answeredBadly: "answered_badly", brokenOff: "broken_off", callerGone: "caller_gone",
}

// String returns the verdict's name in the log.
func (v verdict) String() string { return verdictNames[v] }

const (
	// maxRefusals bounds the replicas that may refuse one request before its caller gets a final answer.
	maxRefusals = 3
	// maxNotSent bounds the replicas that are not reached before that. Two show that a zone is cut off (unreached.Zone): with two zones cut
	// off from this one, four tries pass before all that are left are tried.
	maxNotSent = 6
	// leastTimeLeft is the time below which no further attempt is begun.
	leastTimeLeft = 20 * time.Millisecond
)

// exchange is one request of a caller with its answer.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	terms    Authenticated
	route    *route.Route
	body     []byte
	id       string
	arrived  time.Time
	deadline time.Time

	// service is that of the first attempt.
	service string
	// tried holds the replicas that have had the request; runs counts those that may have run it, refusals those that did not.
	tried    []*replica.Handle
	runs     int
	refusals int
	// notSent counts the replicas that were not reached.
	notSent int
	// promptTokens is the length of the prompt; promptRead is called at the first event of an attempt.
	promptTokens int
	promptRead   func()
	// nextPaid says that the budget has paid for the next attempt already.
	nextPaid atomic.Bool
	// attemptBegan is when the latest attempt began.
	attemptBegan time.Time
	// foundSilence says that an attempt ended for silence: the next one takes a new connection, since kept ones may have gone silent
	// together, also those to other replicas.
	foundSilence bool
	// headSent says that the caller has the head of the answer; lastEvent is the id of the last event that it has.
	headSent  bool
	lastEvent string
	// eventsDelivered is the number of events that were passed on to the caller.
	eventsDelivered int
	// badAnswer is the last whole failure that a replica answered with.
	badAnswer *wholeAnswer
	// message names what the caller sent, permit is the leave for the present attempt, both nil or zero where nothing is kept from replicas.
	message quarantine.Key
	permit  quarantine.Permit
	// replicaEnded says that the replica of the latest attempt was found to have ended; endedRuns are all such attempts.
	replicaEnded bool
	endedRuns    []endedRun
	// lastStatus and lastError are of the latest attempt: the status of its answer, and what broke it off.
	lastStatus int
	lastError  error
}

func (e *exchange) run(ctx context.Context) {
	if reason := e.rejectedBecause(ctx); reason != "" {
		e.conclude(ctx, notRun, reason)
		return
	}
	leave := e.waitForRoom(ctx)
	defer leave()
	defer e.releasePermit()
	if ctx.Err() != nil {
		e.conclude(ctx, notRun, "held_back")
		return
	}
	last := notRun
	for {
		if !e.admit(ctx) {
			e.conclude(ctx, last, quarantine.ReasonRejected)
			return
		}
		handle := e.pickReady(ctx)
		if handle == nil {
			e.conclude(ctx, last, e.whyNone())
			return
		}
		e.tried = append(e.tried, handle)
		last = e.guardedAttempt(ctx, handle)
		switch last {
		case delivered, callerGone:
			e.handler.metrics.finished(e.route.Name, last == delivered, clock.Since(e.arrived))
			if last == callerGone {
				e.event(handle).Str("last_event", e.lastEvent).Msg("caller_gone")
			}
			if last == callerGone && e.headSent {
				panic(http.ErrAbortHandler)
			}
			return
		case notRun:
			e.refusals++
		case notSent:
			e.notSent++
		default:
			e.countRun(handle)
		}
		if !e.mayTryAgain(ctx, last) {
			e.conclude(ctx, last, "given_up")
			return
		}
	}
}

// rejectedBecause returns the reason for which the request is rejected before it waits for room; empty where it is not. On the way it learns
// what other nodes have at the replicas, and names the request's message.
func (e *exchange) rejectedBecause(ctx context.Context) string {
	if e.allEvacuated() {
		return reasonEvacuated
	}
	if e.handler.refresh != nil {
		e.handler.refresh(ctx)
	}
	switch {
	case !e.servedAtHome(clock.Now()):
		return e.whyNone()
	case !e.knownHarmless():
		return quarantine.ReasonRejected
	default:
		return ""
	}
}

// waitForRoom returns once the request may be sent to a replica; leave is called after its end.
func (e *exchange) waitForRoom(ctx context.Context) (leave func()) {
	e.service = e.route.PickService()
	if e.handler.gate == nil {
		return func() {}
	}
	request := held{service: e.service, priority: e.priority(), deadline: e.deadline, passes: e.passesGate()}
	if e.route.Objective > 0 {
		expected := e.handler.expectations.of(e.route)
		wait := e.deadline.Sub(e.arrived)
		expected.observeDeadline(wait)
		request.sendBy = e.arrived.Add(e.route.Objective - expected.waited(wait) - expected.needed())
	}
	leave = e.handler.gate.Enter(ctx, request)
	e.handler.metrics.heldBack(e.route.Name, clock.Since(e.arrived))
	return leave
}

// priority returns the request's rank; a tenant's own takes precedence.
func (e *exchange) priority() int {
	if holder := e.terms.Tenant; holder != nil && holder.Priority != nil {
		return *holder.Priority
	}
	return e.route.Priority
}

// nextService returns the service of the next attempt; the route's share decides.
func (e *exchange) nextService() string {
	if len(e.tried) == 0 {
		return e.service
	}
	return e.route.PickService()
}

// pickReady chooses the next replica among those that may get one more request now.
func (e *exchange) pickReady(ctx context.Context) *replica.Handle {
	if handle := e.pickApart(ctx); handle != nil {
		return handle
	}
	for {
		handle := e.pickWithin(ctx, slices.Clone(e.tried), 0)
		if handle != nil || !e.waitForCold(ctx) {
			return handle
		}
	}
}

// pick chooses the next replica; maxOccupancy 0 is no bound.
func (e *exchange) pick(excluded []*replica.Handle, maxOccupancy float64) *replica.Handle {
	wanted := balance.Request{
		Service: e.nextService(), Zone: e.handler.zone, BodyBytes: len(e.body), Objective: e.route.Objective, Excluded: excluded,
		Homes: e.homes(), MaxOccupancy: maxOccupancy,
	}
	if e.route.Affinity {
		parts := ParsePromptParts(e.request.Header.Get(e.handler.headers.PromptParts))
		wanted.PartKey, wanted.PartTokens, wanted.Tokens = parts.sharedKey()
		e.promptTokens = wanted.Tokens
	}
	now := clock.Now()
	if handle := e.handler.picker.Pick(&wanted, now); handle != nil {
		return handle
	}
	for _, backend := range e.route.Backends {
		wanted.Service = backend.Service
		if handle := e.handler.picker.Pick(&wanted, now); handle != nil {
			return handle
		}
	}
	return nil
}

// mayTryAgain says whether another replica may have the request after an attempt that ended with last.
func (e *exchange) mayTryAgain(ctx context.Context, last verdict) bool {
	if ctx.Err() != nil || clock.Until(e.deadline) < leastTimeLeft {
		return false
	}
	switch last {
	case notRun:
		return e.refusals < maxRefusals
	case notSent:
		return e.notSent < maxNotSent
	}
	if !e.route.MayRepeat() || last == brokenOff && !e.resumes() {
		return false
	}
	if e.spentAttempts() >= max(1, e.route.Attempts) {
		return false
	}
	if e.replicaEnded {
		return len(e.endedRuns) <= mostReplicasEnded
	}
	return e.nextPaid.Swap(false) || e.handler.budget.take()
}

// resumes says that the stream may go on elsewhere behind the last event.
func (e *exchange) resumes() bool { return e.route.Kind == route.Stream && e.route.Resumable }
