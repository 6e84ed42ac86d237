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
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// mostCrashedKept bounds the ended replicas that are recorded for one item: more than that may not end under it.
	mostCrashedKept = 3
	// apartPause is how long a suspected item lets the other messages go first that ran at the replica that ended: callers wait for some of
	// them, and the cause ends the next replica, beside which the item need not be, within some tenths of a second.
	apartPause = time.Second
	// pauseWhileSuspected is how long a suspected item waits that was not sent or found no replica, holdPause how long one that is kept from replicas is not
	// looked at.
	pauseWhileSuspected = 250 * time.Millisecond
	holdPause           = time.Second
)

// messageOf names what an item sends: its prompt, which items of several jobs share whose bodies differ, or its body where it names none.
func messageOf(submission *batchpb.Submission, number int, names replica.Headers) quarantine.Key {
	sent := submission.Items[number]
	message := quarantine.Message{Method: http.MethodPost, Host: submission.Host, Target: sent.Path, PromptParts: headerOf(sent).Get(names.PromptParts)}
	if message.PromptParts == "" {
		message.Body = sent.Body
	}
	return message.Key()
}

// verdictOn says whether an item may be sent.
func (p *partition) verdictOn(each candidate) quarantine.Verdict {
	register := p.service.options.Quarantine
	if register == nil {
		return quarantine.Allowed
	}
	p.mutex.Lock()
	message := p.runOf(each.key).message
	p.mutex.Unlock()
	if message == (quarantine.Key{}) {
		// The whole body is read for it, and the mutex is held by whoever notes progress or ends an item.
		message = messageOf(each.submission, each.key.number, p.service.client.Headers())
		p.mutex.Lock()
		p.runOf(each.key).message = message
		p.mutex.Unlock()
	}
	return register.Check(message)
}

// startApart sends a suspected item where few others run, and no other suspect.
func (p *partition) startApart(each candidate) {
	if !p.readyApart(each) {
		return
	}
	p.mutex.Lock()
	run := p.runOf(each.key)
	message := run.message
	var occupied []*replica.Handle
	for _, other := range p.runs {
		if other.running && other.apart && other.handle != nil {
			occupied = append(occupied, other.handle)
		}
	}
	p.mutex.Unlock()
	var others []*replica.Handle
	for _, backend := range each.route.Backends {
		all := p.service.directory.View().Of(backend.Service)
		occupied = append(occupied, quarantine.Failing(all, clock.Now())...)
		others = append(others, quarantine.NotPreferred(message, all)...)
	}
	excluded := slices.Concat(occupied, others)
	handle := p.pick(each, quarantine.ApartOccupancy, excluded)
	if handle == nil {
		handle = p.pick(each, quarantine.ApartOccupancy, occupied)
	}
	if handle == nil {
		// No replica is that empty: the item waits no longer than other items do.
		handle = p.pick(each, maxOccupancy, occupied)
	}
	found := handle != nil && p.service.mayStart(handle)
	p.mutex.Lock()
	run.apart = found
	if !found {
		// The choice ranks all replicas for each suspect, and the dispatcher wakes at the end of each run.
		run.apartFrom = p.elapsed() + pauseWhileSuspected
	}
	p.mutex.Unlock()
	if !found {
		return
	}
	p.start(each, handle)
}

// holdBack has an item that is kept from replicas wait until its route's retention is over, then lists it as a dead letter.
func (p *partition) holdBack(each candidate) {
	mayGiveUp := p.mayGiveUp(each.route, each.acceptedAt)
	p.mutex.Lock()
	run := p.runOf(each.key)
	run.notBefore = p.elapsed() + holdPause
	run.running = mayGiveUp
	first := !run.heldBack
	run.heldBack = true
	message := run.message
	p.mutex.Unlock()
	if first {
		p.logger.Warn().Str(logging.FieldJob, each.key.job).Int("item", each.key.number).Stringer("digest", message).Msg("item_held_back")
	}
	if mayGiveUp {
		p.running.Go(func() { p.finish(each.key, batchpb.State_STATE_DEAD_LETTER, "", quarantine.ReasonRejected) })
	}
}

// mayGiveUp says that the time is over for which an item that no replica gets is kept.
func (p *partition) mayGiveUp(of *route.Route, acceptedAt int64) bool {
	return p.keptFor(acceptedAt, of.Retention)
}

// keptFor says that an item has been kept for longer than limit; 0 is no limit.
func (p *partition) keptFor(acceptedAt int64, limit time.Duration) bool {
	return limit > 0 && p.now().After(time.UnixMilli(acceptedAt).Add(limit))
}

// tookRejection has an item wait that was not admitted to its replica. It is given up like one that is held back: a keeper may decide otherwise than this
// node's register for as long as they know different ends.
func (p *partition) tookRejection(attempt *itemAttempt) {
	p.mutex.Lock()
	acceptedAt := p.runOf(attempt.key).acceptedAt
	p.mutex.Unlock()
	if p.mayGiveUp(attempt.route, acceptedAt) {
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", quarantine.ReasonRejected)
		return
	}
	p.requeue(attempt.key, pauseWhileSuspected)
}

// runGuarded runs an item at its replica and notes how that ended for its message.
func (p *partition) runGuarded(ctx context.Context, attempt *itemAttempt) itemVerdict {
	register := p.service.options.Quarantine
	if register == nil {
		return attempt.run(ctx)
	}
	p.mutex.RLock()
	message := p.runs[attempt.key].message
	p.mutex.RUnlock()
	permit := register.AdmitItem(ctx, message)
	defer permit.Release()
	if permit.Verdict() == quarantine.Rejected {
		return itemRejected
	}
	if permit.Verdict() == quarantine.Apart && p.mustDefer(attempt, message) {
		return itemNotSent
	}
	if !attempt.stillAdmitted() {
		return itemNotSent
	}
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	startedBehind, eventsBefore := attempt.lastEvent, eventsIn(attempt.text)
	run := permit.Begin(attempt.handle, func() { cancel(quarantine.ErrSuspected) })
	verdict := attempt.run(bounded)
	run.Progress(eventsBefore, eventsIn(attempt.text))
	replicaEnded := run.End(ctx, attempt.ending(bounded, verdict, startedBehind))
	p.noteDecision(attempt.key, verdict, replicaEnded)
	if replicaEnded {
		p.recordCrash(attempt)
		p.letOthersFirst(attempt.key)
	}
	return verdict
}

// eventsIn returns the number of events whose data a text holds.
func eventsIn(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	return 1 + bytes.Count(text, []byte("\n"))
}

// letOthersFirst has an item whose replica ended wait while it is suspected, longer each time.
func (p *partition) letOthersFirst(key itemKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.runOf(key)
	run.crashes++
	run.apartFrom = p.elapsed() + time.Duration(run.crashes)*apartPause
}

// ending is what the attempt says of the item's message. Only a run from the beginning shows that it is harmless.
func (a *itemAttempt) ending(ctx context.Context, verdict itemVerdict, startedBehind string) quarantine.Ending {
	switch {
	case verdict == itemDone && startedBehind == "":
		return quarantine.Whole
	case verdict != itemCut:
		return quarantine.Other
	case ctx.Err() != nil, errors.Is(a.err, errSilent), errors.Is(a.err, errLeaseOver):
		return quarantine.Left
	case a.lastEvent != startedBehind:
		return quarantine.Interrupted
	default:
		return quarantine.Lost
	}
}

// recordCrash makes it durable that a replica ended under an item, where that counts: the next owner must know. The item is sent again only
// then.
func (p *partition) recordCrash(attempt *itemAttempt) {
	p.mutex.RLock()
	message := p.runs[attempt.key].message
	p.mutex.RUnlock()
	if !p.service.options.Quarantine.Counts(message) {
		return
	}
	end := quarantine.RecordedEnd{Replica: attempt.handle.Key(), Reached: eventsIn(attempt.text), ReachedKnown: true}
	crashed := crashedOf(attempt.key, end)
	recorded := func(of *item) bool { return of.crashRecorded(end) }
	propose := func() error { return p.propose(p.ctx, recordOf(ledger.KindBatchCrashed, crashed)) }
	// The next owner would not know of a crash that is not recorded. Nothing follows where the ownership is lost before, which is logged.
	_ = p.untilDurable(attempt.key, "crash_not_recorded", recorded, propose)
}

// crashedOf returns the record of the end of a replica under an item.
func crashedOf(key itemKey, end quarantine.RecordedEnd) *batchpb.Crashed {
	crashed := &batchpb.Crashed{JobId: key.job, Item: uint32(key.number), Replica: uint64(end.Replica)}
	if end.ReachedKnown {
		crashed.Reached = proto.Uint32(uint32(end.Reached))
	}
	return crashed
}

// recallCrashes gives the register what earlier owners have recorded.
func (p *partition) recallCrashes() {
	register := p.service.options.Quarantine
	if register == nil {
		return
	}
	for _, each := range p.state.order {
		for number := range each.items {
			if of := &each.items[number]; len(of.crashed) > 0 && !each.ended {
				register.Recall(messageOf(each.submission, number, p.service.client.Headers()), of.crashed, eventsIn([]byte(of.made())))
			}
		}
	}
}
