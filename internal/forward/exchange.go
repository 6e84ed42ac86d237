package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/prompt"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// attemptOutcome is how one attempt at a replica ended.
type attemptOutcome int

const (
	// delivered: the caller has the whole answer.
	delivered attemptOutcome = iota
	// notRun: the replica did not run the request and will not run it.
	notRun
	// notSent: the replica was not reached; no byte was sent.
	notSent
	// maybeRun: the request may have run, and the caller has received nothing of an answer.
	maybeRun
	// errorAnswered: the replica answered with a complete server error; another replica may succeed.
	errorAnswered
	// truncated: the caller has received a part of the answer.
	truncated
	// callerGone: the caller disconnected.
	callerGone
)

var outcomeNames = map[attemptOutcome]string{
	delivered: "delivered", notRun: "not_run", notSent: "not_sent", maybeRun: "maybe_run",
	errorAnswered: "answered_badly", truncated: "broken_off", callerGone: "caller_gone",
}

// String returns the name of the outcome in the log.
func (o attemptOutcome) String() string { return outcomeNames[o] }

const (
	// maxRefusals is the number of replicas that may refuse a request before its caller gets a final answer.
	maxRefusals = 3
	// maxUnreached is the number of replicas that may be unreachable before that. It takes two to detect that a zone is cut off
	// (unreached.Zone), so that two zones cut off from this one cost four attempts before only the other zones are tried.
	maxUnreached = 6
	// minTimeLeft is the time before the deadline below which no further attempt is started.
	minTimeLeft = 20 * time.Millisecond
)

// exchange is one request of a caller and its answer.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	auth     AuthenticatedRequest
	route    *route.Route
	body     []byte
	id       string
	arrived  time.Time
	deadline time.Time

	// service is the service of the first attempt.
	service string
	// tried holds the replicas that were chosen; runs counts those that may have run the request, refusals those that did not run it.
	tried    []*replica.Handle
	runs     int
	refusals int
	// unreached counts the replicas that were not reached.
	unreached int
	// promptTokens is the length of the prompt in tokens; markPromptRead is called at the first event of an attempt.
	promptTokens   int
	markPromptRead func()
	// retryPaid is set when the retry budget has already been charged for the next attempt.
	retryPaid atomic.Bool
	// attemptStart is the start of the latest attempt.
	attemptStart time.Time
	// silenceDetected is set once an attempt ended for silence. The next attempt then opens a new connection: idle connections,
	// also those to other replicas, may have gone silent together.
	silenceDetected bool
	// headersSent is set once the caller has the answer's header; lastEventID is the ID of the last event that it received.
	headersSent bool
	lastEventID string
	// origin is that of the stream, from its first event on; only replicas of that origin may go on with it.
	origin replica.Origin
	// attemptOrigin is what the entry of the latest attempt's replica told when the attempt began; a later entry need not tell the same.
	attemptOrigin replica.Origin
	// resumedByCaller is set if the caller resumes a stream that another answer began.
	resumedByCaller bool
	// eventsDelivered is the number of events that were relayed to the caller.
	eventsDelivered int
	// errorAnswer is the latest complete server error that a replica answered with.
	errorAnswer *bufferedAnswer
	// messageKey identifies the message in the quarantine, partKeys the shared parts of its prompt; permit covers the current attempt.
	// Zero and nil without a quarantine.
	messageKey quarantine.Key
	partKeys   []quarantine.Key
	permit     quarantine.Permit
	// noteEvents reports events of the current attempt to the quarantine; nil without one.
	noteEvents func(events int)
	// replicaEnded is set if the replica of the latest attempt was found to have ended; uncountedRuns holds all such attempts.
	replicaEnded  bool
	uncountedRuns []uncountedRun
	// lastStatus and lastError belong to the latest attempt: the status of its answer, and the error that ended it.
	lastStatus int
	lastError  error
}

func (e *exchange) serve(ctx context.Context) {
	if reason := e.rejectionReason(ctx); reason != "" {
		e.answerUndelivered(ctx, notRun, reason)
		return
	}
	e.resumedByCaller = e.lastEventID != ""
	if reason := e.findOrigin(ctx); reason != "" {
		e.answerUndelivered(ctx, notRun, reason)
		return
	}
	leave := e.waitForRoom(ctx)
	defer leave()
	defer e.releasePermit()
	if ctx.Err() != nil {
		e.answerUndelivered(ctx, notRun, "held_back")
		return
	}
	outcome := notRun
	for {
		if !e.acquirePermit(ctx) {
			e.answerUndelivered(ctx, outcome, quarantine.ReasonRejected)
			return
		}
		handle := e.pickReplica(ctx)
		if handle == nil {
			e.answerUndelivered(ctx, outcome, e.noReplicaReason())
			return
		}
		e.tried = append(e.tried, handle)
		outcome = e.quarantinedAttempt(ctx, handle)
		switch outcome {
		case delivered, callerGone:
			e.handler.metrics.observeFinished(e.route.Name, outcome == delivered, clock.Since(e.arrived))
			if outcome == callerGone {
				e.logEvent(handle).Str("last_event", e.lastEventID).Msg("caller_gone")
			}
			if outcome == callerGone {
				// Without it, net/http would answer 200 to a caller that has closed only its side of the connection.
				panic(http.ErrAbortHandler)
			}
			return
		case notRun:
			e.refusals++
		case notSent:
			e.unreached++
		default:
			e.countRun(handle)
		}
		if !e.mayRetry(ctx, outcome) {
			e.answerUndelivered(ctx, outcome, "given_up")
			return
		}
	}
}

// rejectionReason returns the reason for which the request is rejected before it waits for capacity, or "" if it is not. It also
// refreshes what other nodes have in flight at the replicas, and computes the key of the request's message.
func (e *exchange) rejectionReason(ctx context.Context) string {
	if e.allEvacuated() {
		return reasonEvacuated
	}
	if e.handler.refreshLoad != nil {
		e.handler.refreshLoad(ctx)
	}
	switch {
	case !e.servedInHomes(clock.Now()):
		return e.noReplicaReason()
	case !e.passesQuarantine():
		return quarantine.ReasonRejected
	default:
		return ""
	}
}

// waitForRoom returns once the request may be sent to a replica; leave must be called after the request has ended.
func (e *exchange) waitForRoom(ctx context.Context) (leave func()) {
	e.service = e.route.PickService()
	if !e.origin.IsZero() {
		e.service = e.origin.Service
	}
	if e.handler.gate == nil {
		return func() {}
	}
	request := gateRequest{service: e.service, priority: e.priority(), deadline: e.deadline, mayBypass: e.gateBypass()}
	if e.route.Objective > 0 {
		estimate := e.handler.estimates.forRoute(e.route)
		timeout := e.deadline.Sub(e.arrived)
		estimate.observeTimeout(timeout)
		request.sendBy = e.arrived.Add(e.route.Objective - estimate.alreadyWaited(timeout) - estimate.uncontendedLatency())
	}
	leave = e.handler.gate.Enter(ctx, request)
	e.handler.metrics.observeHeld(e.route.Name, clock.Since(e.arrived))
	return leave
}

// priority returns the request's priority; that of its tenant takes precedence over that of its route.
func (e *exchange) priority() int {
	if holder := e.auth.Tenant; holder != nil && holder.Priority != nil {
		return *holder.Priority
	}
	return e.route.Priority
}

// nextService returns the service of the next attempt; after the first attempt it is drawn by the weights of the route's backends.
func (e *exchange) nextService() string {
	if !e.origin.IsZero() {
		return e.origin.Service
	}
	if len(e.tried) == 0 {
		return e.service
	}
	return e.route.PickService()
}

// pickReplica chooses a replica that may get one more request now; nil if there is none.
func (e *exchange) pickReplica(ctx context.Context) *replica.Handle {
	if handle := e.pickForSuspect(ctx); handle != nil {
		return handle
	}
	for {
		handle := e.pickWithColdLimit(ctx, slices.Clone(e.tried), 0)
		if handle != nil || !e.waitForColdReplica(ctx) {
			return handle
		}
	}
}

// pick chooses the next replica; nil if there is none. A maxOccupancy of 0 sets no bound.
func (e *exchange) pick(excluded []*replica.Handle, maxOccupancy float64) *replica.Handle {
	if e.handler.directory.View().Contradicts(e.origin) {
		return nil
	}
	query := balance.Request{
		Service: e.nextService(), Zone: e.handler.zone, BodyBytes: len(e.body), Objective: e.route.Objective, Excluded: excluded,
		Homes: e.homes(), MaxOccupancy: maxOccupancy, Origin: e.origin,
	}
	if e.route.Affinity {
		parts := prompt.ParseParts(e.request.Header.Get(e.handler.headers.PromptParts))
		query.PartKey, query.PartTokens, query.Tokens = parts.SharedKey()
		e.promptTokens = query.Tokens
	}
	now := clock.Now()
	if handle := e.handler.picker.Pick(&query, now); handle != nil || !e.origin.IsZero() {
		return handle
	}
	for _, backend := range e.route.Backends {
		query.Service = backend.Service
		if handle := e.handler.picker.Pick(&query, now); handle != nil {
			return handle
		}
	}
	return nil
}

// mayRetry reports whether another replica may get the request after an attempt with the given outcome.
func (e *exchange) mayRetry(ctx context.Context, outcome attemptOutcome) bool {
	if ctx.Err() != nil || clock.Until(e.deadline) < minTimeLeft {
		return false
	}
	switch outcome {
	case notRun:
		return e.refusals < maxRefusals
	case notSent:
		return e.unreached < maxUnreached
	}
	if !e.route.MayRepeat() || outcome == truncated && !e.canResume() {
		return false
	}
	if e.spentAttempts() >= max(1, e.route.Attempts) {
		return false
	}
	if e.replicaEnded {
		return len(e.uncountedRuns) <= maxEndedReplicas
	}
	return e.retryPaid.Swap(false) || e.handler.budget.take()
}

// canResume reports whether another replica may continue the stream after the last event.
func (e *exchange) canResume() bool { return e.route.Kind == route.Stream && e.route.Resumable }
