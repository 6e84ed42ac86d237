package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/eventstream"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// silenceTimeout is how long a replica may send nothing before the attempt is ended and the item continues at another replica.
	silenceTimeout = 3 * time.Second
	// pauseAfterRefusal and pauseAfterFailure are how long an item waits before it is sent again.
	pauseAfterRefusal = 60 * time.Millisecond
	pauseAfterFailure = 250 * time.Millisecond
	// maxErrorBodyBytes bounds how much of the body is read when the answer is not a stream.
	maxErrorBodyBytes = 64 << 10
	// appendRetryDelay is the wait before a failed append about an item is retried.
	appendRetryDelay = 200 * time.Millisecond
)

var (
	errSilent   = errors.New("replica is silent")
	errUnframed = errors.New("answer ended with its connection")
)

// itemVerdict is the result of one attempt at an item.
type itemVerdict int

const (
	// itemDone: the whole text was received.
	itemDone itemVerdict = iota
	// itemImpossible: no replica can process the item.
	itemImpossible
	// itemFailed: the replica ran the item and answered with a failure.
	itemFailed
	// itemRefused: the replica did not run the item.
	itemRefused
	// itemInterrupted: the stream ended early; the text received so far is kept.
	itemInterrupted
	// itemMalformed: the replica sent a response that is not proven to be its answer, or an event that is not text, which no result can
	// contain, and the text before it is kept; or events that make the text too long, and the text is dropped.
	itemMalformed
	// itemNotSent: the item was not sent, since its replica is cold and cannot take another run now, or its deciding run was
	// deferred.
	itemNotSent
	// itemRejected: the item was not sent, since replicas ended under its message and the quarantine granted no further run.
	itemRejected
)

var itemVerdictNames = map[itemVerdict]string{
	itemDone: "done", itemImpossible: "impossible", itemFailed: "failed", itemRefused: "refused", itemInterrupted: "cut", itemMalformed: "malformed", itemNotSent: "not_sent",
	itemRejected: "rejected",
}

// String returns the verdict's name as it is logged.
func (v itemVerdict) String() string { return itemVerdictNames[v] }

// itemAttempt is one attempt to run an item at one replica. It lasts one or more leases.
type itemAttempt struct {
	partition *partition
	key       itemKey
	item      *batchpb.Item
	host      string
	// tenant is the name of the tenant that owns the item; empty if no tenants are declared.
	tenant string
	route  *route.Route
	handle *replica.Handle
	// admittedAt is when the current send was counted against the limit of a cold replica.
	admittedAt time.Time
	text       []byte
	lastEvent  string
	// origin is that of the text; leaseOrigin is that of a text which the replica began under the current lease.
	origin, leaseOrigin replica.Origin
	status              int
	err                 error
	// leaseLength is the length of the current lease, which started at leaseStartedAt. awaitingResume is true from the start of a
	// further lease of this attempt until its first event.
	leaseLength    time.Duration
	leaseStartedAt time.Time
	awaitingResume bool
	// lastEventsAt is when events were last received, eventGap the time between those events and the ones before.
	lastEventsAt time.Time
	eventGap     time.Duration
	// noteEvents reports events to the quarantine; nil without one.
	noteEvents func(events int)
}

// run runs the item at its replica, one lease after the other, until it is done, fails or is interrupted.
func (a *itemAttempt) run(ctx context.Context) itemVerdict {
	a.partition.setAtReplica(a.key, true)
	defer a.partition.setAtReplica(a.key, false)
	for {
		sizeBefore := len(a.text)
		verdict := a.runLease(ctx)
		leaseOver := verdict == itemInterrupted && errors.Is(a.err, errLeaseExpired) && ctx.Err() == nil
		if !leaseOver || len(a.text) == sizeBefore || !a.handle.Usable() || !a.mayContinue() || !a.admitAgain() {
			return verdict
		}
		a.err = nil
		a.awaitingResume = true
	}
}

// mayContinue reports whether a further lease at the replica may go on with the text: its entry is as it was when it began the text, or it is
// known to be of the same version.
func (a *itemAttempt) mayContinue() bool {
	return a.origin == a.handle.Origin() || a.origin.MayContinueAt(a.handle)
}

// runLease runs the item for one lease.
func (a *itemAttempt) runLease(ctx context.Context) itemVerdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.leaseLength = a.partition.nextLease(a)
	a.leaseStartedAt = clock.Now()
	a.leaseOrigin = a.handle.Origin()
	leaseTimer := time.AfterFunc(a.leaseLength-leaseMargin, func() { cancel(errLeaseExpired) })
	defer leaseTimer.Stop()
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	client := a.partition.service.client
	if !a.origin.IsZero() {
		if err := client.CheckIncarnation(ctx, a.handle, a.partition.service.options.Report); err != nil {
			a.err = errors.Join(err, context.Cause(ctx))
			a.reportFailure()
			return itemRefused
		}
	}
	answer, err := client.Do(ctx, a.handle, a.newCall(client.Headers()))
	if err != nil {
		a.err = errors.Join(err, context.Cause(ctx))
		if errors.Is(err, replica.ErrInvalidHead) {
			return itemImpossible
		}
		a.reportFailure()
		switch {
		case errors.Is(err, replica.ErrNotSent):
			return itemRefused
		case errors.Is(err, replica.ErrUnproven):
			return itemMalformed
		default:
			return itemInterrupted
		}
	}
	a.status = answer.Status
	if answer.Status != http.StatusOK {
		_, err := io.CopyN(io.Discard, answer.Body, maxErrorBodyBytes)
		answer.Close(errors.Is(err, io.EOF))
		return a.classifyAnswer(answer)
	}
	verdict := a.readStream(ctx, answer, silenceTimer)
	answer.Close(verdict == itemDone)
	return verdict
}

// observeEvents notes that events were received. The first events of a further lease show the cost of starting it: the time since
// its start less the usual gap between events.
func (a *itemAttempt) observeEvents(now time.Time) {
	if a.awaitingResume {
		a.awaitingResume = false
		a.partition.service.leases.observe(max(0, now.Sub(a.leaseStartedAt)-a.eventGap))
	} else {
		a.eventGap = now.Sub(a.lastEventsAt)
	}
	a.lastEventsAt = now
}

// reportFailure counts a failure against the replica unless this process itself ended the attempt.
func (a *itemAttempt) reportFailure() {
	if errors.Is(a.err, replica.ErrEvacuated) || errors.Is(a.err, replica.ErrLeaving) {
		return
	}
	if !errors.Is(a.err, errLeaseExpired) && !errors.Is(a.err, quarantine.ErrSuspected) &&
		(!errors.Is(a.err, context.Canceled) || errors.Is(a.err, errSilent)) {
		a.handle.Failed(clock.Now())
	}
}

// itemHeader returns the HTTP header fields that were submitted with an item.
func itemHeader(item *batchpb.Item) http.Header {
	header := make(http.Header, len(item.Headers)+4)
	for _, field := range item.Headers {
		header.Add(field.Name, field.Value)
	}
	return header
}

// newCall builds the item's request.
func (a *itemAttempt) newCall(names replica.Headers) replica.Call {
	header := itemHeader(a.item)
	header.Del(names.APIKey)
	header.Del(names.Tenant)
	if a.tenant != "" {
		header.Set(names.Tenant, a.tenant)
	}
	header.Set(names.RequestID, a.item.Id)
	header.Set(names.ExpectInstance, a.handle.Info().ID)
	header.Set(names.Deadline, strconv.FormatInt(a.leaseLength.Milliseconds(), 10))
	if a.lastEvent != "" {
		header.Set(names.LastEventID, a.lastEvent)
	}
	return replica.Call{
		Method: http.MethodPost, Target: a.item.Path, Host: a.host, Header: header, Body: a.item.Body, RequestID: a.item.Id, AdmittedAt: a.admittedAt,
	}
}

// classifyAnswer returns the verdict for an answer that is not a stream.
func (a *itemAttempt) classifyAnswer(answer *replica.Answer) itemVerdict {
	switch {
	case answer.NotRun:
		a.handle.Refused(answer.Status, clock.Now())
		return itemRefused
	case answer.Status == http.StatusUnprocessableEntity:
		return itemImpossible
	default:
		a.handle.Failed(clock.Now())
		return itemFailed
	}
}

// readStream collects the data of the events. An answer that ends with its connection may be whole, or its replica may have
// ended between two events: the item is sent again and resumes after its last event, as it does after one that is not text. If
// such a run brings nothing more, the text is whole.
func (a *itemAttempt) readStream(ctx context.Context, answer *replica.Answer, silence *time.Timer) itemVerdict {
	reader := eventstream.NewReader(answer.Body)
	begunAfter := a.lastEvent
	for {
		received, err := reader.Next()
		events, notText := received.Text()
		if len(events.Bytes) > 0 {
			silence.Reset(silenceTimeout)
			a.observeEvents(clock.Now())
			if a.origin.IsZero() {
				a.origin = a.leaseOrigin
			}
			if tooLong := a.appendText(events); tooLong != nil {
				a.err = tooLong
				a.reportFailure()
				a.partition.dropText(a.key)
				return itemMalformed
			}
		}
		if notText != nil {
			a.err = notText
			a.reportFailure()
			return itemMalformed
		}
		if errors.Is(err, io.EOF) && (answer.Framed || a.lastEvent != "" && a.lastEvent == begunAfter) {
			a.handle.Succeeded()
			return itemDone
		}
		if errors.Is(err, io.EOF) && a.lastEvent != begunAfter {
			a.err = errUnframed
			return itemInterrupted
		}
		if err != nil {
			a.err = errors.Join(err, context.Cause(ctx))
			a.reportFailure()
			return itemInterrupted
		}
	}
}

// dropText makes the item begin anew with its next run: its text is not that of an answer.
func (p *partition) dropText(key itemKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ensureRun(key).beginAnew()
}

// recordProgress stores the text and the last event of a running item.
func (p *partition) recordProgress(attempt *itemAttempt) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if run := p.runs[attempt.key]; run != nil {
		run.text, run.lastEvent, run.progressAt = attempt.text, attempt.lastEvent, p.elapsed()
		run.origin = attempt.origin
	}
}

// handleAttemptEnd lists the item, gives it up or queues it again, as the verdict on the attempt demands.
func (p *partition) handleAttemptEnd(attempt *itemAttempt, verdict itemVerdict) {
	if verdict != itemDone {
		p.logNotDone(attempt, verdict)
	}
	p.recordRunEnd(attempt.key)
	switch verdict {
	case itemDone:
		p.finish(attempt.key, batchpb.State_STATE_SUCCEEDED, string(attempt.text), "done")
	case itemImpossible:
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", "impossible")
	case itemFailed:
		p.handleFailure(attempt)
	case itemRefused:
		p.requeue(attempt.key, pauseAfterRefusal)
	case itemInterrupted:
		p.requeue(attempt.key, 0)
	case itemMalformed:
		// Such an answer is none of those after which an item may be given up, so that it is sent again.
		p.requeue(attempt.key, pauseAfterFailure)
	case itemNotSent:
		p.requeue(attempt.key, suspectedRetryDelay)
	case itemRejected:
		p.handleRejection(attempt)
	}
	p.wake()
}

// logNotDone logs an attempt that did not finish its item, including one that ended because the ownership was lost: the number of
// this owner's attempts, and the number of failures counted before this one.
func (p *partition) logNotDone(attempt *itemAttempt, verdict itemVerdict) {
	p.mutex.Lock()
	run := p.ensureRun(attempt.key)
	attempts, failures := run.attempts, run.failures
	p.mutex.Unlock()
	p.logger.Info().Str(logging.FieldRequest, attempt.item.Id).Str(logging.FieldJob, attempt.key.job).
		Str(logging.FieldReplica, attempt.handle.Info().ID).Stringer("verdict", verdict).Int("status", attempt.status).
		Int("begins", attempts).Int("failures_before", failures).Bool("owned", p.ctx.Err() == nil).
		Str("last_event", attempt.lastEvent).Err(attempt.err).Msg("item_not_done")
}

func (p *partition) requeue(key itemKey, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.ensureRun(key)
	run.running, run.notBefore = false, p.elapsed()+pause
}

// finish lists the result of an item. It retries until the result is durable or the ownership is lost; the item counts as running
// meanwhile.
func (p *partition) finish(key itemKey, finalState batchpb.State, text, reason string) {
	listed := func(item *itemState) bool { return item.listed }
	if !p.proposeUntilDurable(key, "result_not_listed", listed, func() error { return p.proposeResult(key, finalState, text) }) {
		return
	}
	p.mutex.Lock()
	delete(p.runs, key)
	p.mutex.Unlock()
	if finalState == batchpb.State_STATE_DEAD_LETTER {
		p.logger.Info().Str(logging.FieldJob, key.job).Int("item", key.number).Str(logging.FieldReason, reason).Msg("item_dead")
	}
}

// proposeUntilDurable proposes a record about an item until recorded reports that the state contains it, or the item needs no
// further records. It returns false if the ownership is lost first. failed is the message logged for each try that fails.
func (p *partition) proposeUntilDurable(key itemKey, failed string, recorded func(item *itemState) bool, propose func() error) bool {
	for p.ctx.Err() == nil && !p.isRecorded(key, recorded) {
		err := propose()
		if err == nil {
			continue
		}
		p.logger.Warn().Str(logging.FieldJob, key.job).Int("item", key.number).Err(err).
			Str(logging.FieldReason, string(outcome.As(err).Reason)).Msg(failed)
		if !pause.Sleep(p.ctx, appendRetryDelay) {
			return false
		}
	}
	return p.ctx.Err() == nil
}

func (p *partition) proposeResult(key itemKey, finalState batchpb.State, text string) error {
	p.textMutex.Lock()
	request := newProposal(p.resultRecord(key, finalState, text))
	err := p.enqueue(p.ctx, request)
	p.textMutex.Unlock()
	if err != nil {
		return err
	}
	return p.await(p.ctx, request)
}

// resultRecord returns the record that lists an item. It contains only the part of the text that the log does not have yet, unless the item
// was begun anew.
func (p *partition) resultRecord(key itemKey, finalState batchpb.State, text string) ledger.Record {
	result := &batchpb.Result{JobId: key.job, Item: uint32(key.number), State: finalState}
	if finalState == batchpb.State_STATE_SUCCEEDED {
		p.mutex.Lock()
		run := p.ensureRun(key)
		if run.finishing {
			// An earlier try did not list the item: progress that was being appended may not have reached the log.
			run.logged = len(p.state.jobs[key.job].items[key.number].loggedText())
		}
		run.finishing = true
		logged := run.logged
		if !run.startedWithText {
			result.RanMillis = uint64(run.runTime.Milliseconds())
		}
		if run.rewritten {
			logged = 0
			result.State = batchpb.State_STATE_SUCCEEDED_WHOLE
		}
		p.mutex.Unlock()
		result.Offset, result.Text = uint64(logged), text[logged:]
	}
	return newRecord(ledger.KindBatchResult, result)
}

// isRecorded reports whether the state satisfies recorded for an item, or the item needs no further records.
func (p *partition) isRecorded(key itemKey, recorded func(item *itemState) bool) bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	job := p.state.jobs[key.job]
	return job == nil || job.ended || job.items[key.number].listed || recorded(&job.items[key.number])
}
