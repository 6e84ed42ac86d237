package batch

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/prompt"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// maxCrashesPerItem bounds the ended replicas that are recorded for one item: as many reject it. maxRetriesPerItem bounds
	// those of its retries.
	maxCrashesPerItem = 3
	maxRetriesPerItem = 16
	// crashBackoff is how long a suspected item waits for each replica that ended under it, up to maxCrashesPerItem. Other messages that ran at such a
	// replica are retried first: callers wait for some of them, and one that is the cause ends the next replica within some tenths
	// of a second, while the item is not there.
	crashBackoff = time.Second
	// suspectedRetryDelay is how long a suspected item waits if it was not sent or no replica was found for it.
	// heldBackCheckInterval is how long an item that is kept from replicas is skipped by the dispatcher.
	suspectedRetryDelay   = 250 * time.Millisecond
	heldBackCheckInterval = time.Second
)

// messageKey identifies what an item sends: its prompt parts, which items of several jobs with different bodies may share, or its
// body if it names none.
func messageKey(submission *batchpb.Submission, number int, names replica.Headers) quarantine.Key {
	item := submission.Items[number]
	message := quarantine.Message{Method: http.MethodPost, Host: submission.Host, Target: item.Path, PromptParts: itemHeader(item).Get(names.PromptParts)}
	if message.PromptParts == "" {
		message.Body = item.Body
	}
	return message.Key()
}

// partKeys identifies the shared parts of an item's prompt.
func partKeys(item *batchpb.Item, names replica.Headers) []quarantine.Key {
	return quarantine.PartKeys(prompt.ParseParts(itemHeader(item).Get(names.PromptParts)))
}

// checkQuarantine returns the quarantine's verdict on whether an item may be sent.
func (p *partition) checkQuarantine(item candidate) quarantine.Verdict {
	register := p.service.options.Quarantine
	if register == nil {
		return quarantine.Allowed
	}
	p.mutex.Lock()
	run := p.ensureRun(item.key)
	message, parts := run.message, run.parts
	p.mutex.Unlock()
	if message == (quarantine.Key{}) {
		// Hashing reads the whole body, so it is done without the mutex, which is needed to record progress and to finish items.
		names := p.service.client.Headers()
		message = messageKey(item.submission, item.key.number, names)
		parts = partKeys(item.submission.Items[item.key.number], names)
		p.mutex.Lock()
		run = p.ensureRun(item.key)
		run.message, run.parts = message, parts
		p.mutex.Unlock()
	}
	return register.CheckItem(message, parts...)
}

// startApart starts a suspected item at a replica where few other items and no other suspected item run.
func (p *partition) startApart(item candidate) {
	if !p.mayRunApart(item) {
		if p.retries(item.key) {
			p.holdBack(item)
		}
		return
	}
	p.mutex.Lock()
	run := p.ensureRun(item.key)
	message := run.message
	var occupied []*replica.Handle
	for _, other := range p.runs {
		if other.running && other.apart && other.handle != nil {
			occupied = append(occupied, other.handle)
		}
	}
	p.mutex.Unlock()
	var others []*replica.Handle
	for _, backend := range item.route.Backends {
		all := p.service.directory.View().ForService(backend.Service)
		occupied = append(occupied, quarantine.RecentlyFailed(all, clock.Now())...)
		others = append(others, quarantine.NotPreferred(message, all)...)
	}
	excluded := slices.Concat(occupied, others)
	handle := p.pick(item, quarantine.ApartOccupancy, excluded)
	if handle == nil {
		handle = p.pick(item, quarantine.ApartOccupancy, occupied)
	}
	if handle == nil {
		// No replica has so few runs: the item is sent under the same limit as other items, so that it waits no longer than they do.
		handle = p.pick(item, maxOccupancy, occupied)
	}
	found := handle != nil && p.service.takeColdStart(handle)
	p.mutex.Lock()
	run.apart = found
	if !found {
		// pick ranks all replicas for each suspected item, and the dispatcher wakes up at the end of each run.
		run.apartNotBefore = p.elapsed() + suspectedRetryDelay
	}
	p.mutex.Unlock()
	if !found {
		return
	}
	p.start(item, handle)
}

// waitsForRetry reports whether an item whose latest retry ended its replica must wait before it is sent again.
func (p *partition) waitsForRetry(key itemKey) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.elapsed() < p.ensureRun(key).retryNotBefore
}

// retries reports whether the item's message is rejected, so that its next run is a retry.
func (p *partition) retries(key itemKey) bool {
	p.mutex.Lock()
	message := p.ensureRun(key).message
	p.mutex.Unlock()
	return p.service.options.Quarantine.Retries(message)
}

// holdBack keeps a rejected item from replicas for a while. Once its route's retention is over, it lists the item as a dead letter.
func (p *partition) holdBack(item candidate) {
	giveUp := p.retentionOver(item.route, item.acceptedAt)
	p.mutex.Lock()
	run := p.ensureRun(item.key)
	run.notBefore = p.elapsed() + heldBackCheckInterval
	run.running = giveUp
	firstTime := !run.holdBackLogged
	run.holdBackLogged = true
	message := run.message
	p.mutex.Unlock()
	if firstTime {
		p.logger.Warn().Str(logging.FieldJob, item.key.job).Int("item", item.key.number).Stringer("digest", message).Msg("item_held_back")
	}
	if giveUp {
		p.background.Go(func() { p.finish(item.key, batchpb.State_STATE_DEAD_LETTER, "", quarantine.ReasonRejected) })
	}
}

// retentionOver reports whether an item that no replica may get has exceeded its route's retention.
func (p *partition) retentionOver(matched *route.Route, acceptedAt int64) bool {
	return p.olderThan(acceptedAt, matched.Retention)
}

// olderThan reports whether an item was accepted longer than limit ago. A limit of 0 is never exceeded.
func (p *partition) olderThan(acceptedAt int64, limit time.Duration) bool {
	return limit > 0 && p.now().After(time.UnixMilli(acceptedAt).Add(limit))
}

// handleRejection queues an item whose run the quarantine did not grant, or gives it up once its retention is over, as for one that
// is held back. The keeper of the message may decide differently from this node's register while the two know different ends of
// replicas.
func (p *partition) handleRejection(attempt *itemAttempt) {
	p.mutex.Lock()
	acceptedAt := p.ensureRun(attempt.key).acceptedAt
	p.mutex.Unlock()
	if p.retentionOver(attempt.route, acceptedAt) {
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", quarantine.ReasonRejected)
		return
	}
	if p.retries(attempt.key) {
		p.requeue(attempt.key, heldBackCheckInterval)
		return
	}
	p.requeue(attempt.key, suspectedRetryDelay)
}

// runGuarded runs an item at its replica under a permit of the quarantine and reports to it how the run ended.
func (p *partition) runGuarded(ctx context.Context, attempt *itemAttempt) itemVerdict {
	register := p.service.options.Quarantine
	if register == nil {
		return attempt.run(ctx)
	}
	p.mutex.RLock()
	message, parts := p.runs[attempt.key].message, p.runs[attempt.key].parts
	p.mutex.RUnlock()
	permit := register.AdmitItem(ctx, message, parts...)
	defer permit.Release()
	if permit.Verdict() == quarantine.Rejected {
		return itemRejected
	}
	// The keeper may allow a message that this node suspects: the run must still be deferred if its end may reject the item.
	if p.mustDeferAttempt(attempt, message) {
		return itemNotSent
	}
	if !attempt.ensureAdmitted() {
		return itemNotSent
	}
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resumedAfter, eventsBefore := attempt.lastEvent, countEvents(attempt.text)
	run := permit.Begin(attempt.handle, func() { cancel(quarantine.ErrSuspected) })
	attempt.noteEvents = run.Received
	verdict := attempt.run(bounded)
	run.Progress(eventsBefore, countEvents(attempt.text))
	ending := attempt.classifyEnding(bounded, verdict, resumedAfter)
	replicaEnded := run.End(ctx, ending)
	p.observeDecidingRun(attempt.key, verdict, replicaEnded)
	if replicaEnded {
		p.recordCrash(attempt, ending)
		p.backOffAfterCrash(attempt.key)
	}
	return verdict
}

// countEvents returns the number of events whose data is contained in text.
func countEvents(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	return 1 + bytes.Count(text, []byte("\n"))
}

// backOffAfterCrash delays the next run of an item whose replica ended, while the item is suspected. The delay grows with each
// of the first crashes. A rejected item is delayed whatever is known of its message: the evidence on it is forgotten at some time.
func (p *partition) backOffAfterCrash(key itemKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.ensureRun(key)
	run.crashes++
	run.apartNotBefore = p.elapsed() + time.Duration(min(run.crashes, maxCrashesPerItem))*crashBackoff
	if job := p.state.jobs[key.job]; job != nil {
		run.retryNotBefore = p.elapsed() + job.items[key.number].retryDelay()
	}
}

// classifyEnding returns what the attempt shows about the item's message. Only a complete run from the beginning shows that the
// message is harmless.
func (a *itemAttempt) classifyEnding(ctx context.Context, verdict itemVerdict, resumedAfter string) quarantine.Ending {
	switch {
	case verdict == itemDone && resumedAfter == "":
		return quarantine.Whole
	case verdict == itemRefused && a.awaitingResume && ctx.Err() == nil:
		// The replica may have ended under the lease before, which this owner cut off.
		return quarantine.Expired
	case verdict != itemInterrupted:
		return quarantine.Other
	case ctx.Err() != nil, errors.Is(a.err, errSilent), errors.Is(a.err, errLeaseExpired):
		return quarantine.Aborted
	case a.lastEvent != resumedAfter:
		return quarantine.Interrupted
	default:
		return quarantine.Lost
	}
}

// recordCrash makes it durable that a replica ended under an item, if that counts against the message, so that the next owner knows.
// The item is not sent again before that. The events that the text had are recorded unless the replica may have ended at a later one.
func (p *partition) recordCrash(attempt *itemAttempt, ending quarantine.Ending) {
	p.mutex.RLock()
	message, retry := p.runs[attempt.key].message, p.runs[attempt.key].retry
	if job := p.state.jobs[attempt.key.job]; job != nil {
		// The evidence on the message may have been forgotten since a retry failed.
		retry = retry || job.items[attempt.key.number].failedRetries() > 0
	}
	p.mutex.RUnlock()
	if !p.service.options.Quarantine.HasEvidence(message) {
		return
	}
	end := quarantine.RecordedEnd{Replica: attempt.handle.Key(), Retry: retry}
	if ending != quarantine.Expired {
		end.Reached, end.ReachedKnown = countEvents(attempt.text), true
	}
	crashed := newCrashed(attempt.key, end)
	recorded := func(item *itemState) bool { return item.hasCrash(end) }
	propose := func() error { return p.propose(p.ctx, newRecord(ledger.KindBatchCrashed, crashed)) }
	// A crash that is not recorded would be unknown to the next owner. The result is false only if the ownership is lost first; that
	// is logged, and nothing is left to do.
	_ = p.proposeUntilDurable(attempt.key, "crash_not_recorded", recorded, propose)
}

// newCrashed returns the record that a replica ended under an item.
func newCrashed(key itemKey, end quarantine.RecordedEnd) *batchpb.Crashed {
	crashed := &batchpb.Crashed{JobId: key.job, Item: uint32(key.number), Replica: uint64(end.Replica), Retry: end.Retry}
	if end.ReachedKnown {
		crashed.Reached = proto.Uint32(uint32(end.Reached))
	}
	return crashed
}

// recallCrashes passes the crashes that earlier owners recorded to the quarantine's register.
func (p *partition) recallCrashes() {
	register := p.service.options.Quarantine
	if register == nil {
		return
	}
	for _, job := range p.state.order {
		for number := range job.items {
			if item := &job.items[number]; len(item.crashes) > 0 && !job.ended {
				register.Recall(messageKey(job.submission, number, p.service.client.Headers()), item.crashes, countEvents([]byte(item.loggedText())))
			}
		}
	}
}
