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
	// itemSilence is how long a replica may send nothing before the item goes on elsewhere.
	itemSilence = 3 * time.Second
	// pauseAfterRefusal and pauseAfterFailure are how long an item waits before it is sent again.
	pauseAfterRefusal = 60 * time.Millisecond
	pauseAfterFailure = 250 * time.Millisecond
	// maxErrorBody bounds what is read of an answer that is no stream.
	maxErrorBody = 64 << 10
	// retryAppend is the wait before a result is appended again.
	retryAppend = 200 * time.Millisecond
)

var errSilent = errors.New("replica is silent")

// itemVerdict is how one attempt at an item ended.
type itemVerdict int

const (
	// itemDone: the text is whole.
	itemDone itemVerdict = iota
	// itemImpossible: no replica can ever do it.
	itemImpossible
	// itemFailed: the replica ran it and failed.
	itemFailed
	// itemRefused: the replica did not run it.
	itemRefused
	// itemCut: the stream ended early; the text so far stands.
	itemCut
	// itemNotSent: it was not sent, since its replica is cold and has no room for it now.
	itemNotSent
	// itemRejected: it was not sent, since replicas ended under its message, and no further run was granted.
	itemRejected
)

var itemVerdictNames = map[itemVerdict]string{
	itemDone: "done", itemImpossible: "impossible", itemFailed: "failed", itemRefused: "refused", itemCut: "cut", itemNotSent: "not_sent",
	itemRejected: "rejected",
}

// String returns the verdict's name in the log.
func (v itemVerdict) String() string { return itemVerdictNames[v] }

// itemAttempt is one send of an item to one replica.
type itemAttempt struct {
	partition *partition
	key       itemKey
	sent      *batchpb.Item
	host      string
	// tenant is the name of the tenant whose item it is; empty where no tenants are declared.
	tenant string
	route  *route.Route
	handle *replica.Handle
	// admittedAt is when the present send was counted against what a cold replica can take.
	admittedAt time.Time
	text       []byte
	lastEvent  string
	status     int
	err        error
	// lease is the length of the present lease, which began at leaseBegan; resumed says that another one came before it here and that its
	// first event has not come yet.
	lease      time.Duration
	leaseBegan time.Time
	resumed    bool
	// eventsAt is when events came last, gap the time since those before them.
	eventsAt time.Time
	gap      time.Duration
}

// run runs the item at its replica, one lease after the other, until it is done, fails or is cut off.
func (a *itemAttempt) run(ctx context.Context) itemVerdict {
	a.partition.noteAtReplica(a.key, true)
	defer a.partition.noteAtReplica(a.key, false)
	for {
		madeBefore := len(a.text)
		verdict := a.runLease(ctx)
		leaseOver := verdict == itemCut && errors.Is(a.err, errLeaseOver) && ctx.Err() == nil
		if !leaseOver || len(a.text) == madeBefore || !a.handle.Usable() || !a.admitted() {
			return verdict
		}
		a.err = nil
		a.resumed = true
	}
}

// runLease runs the item for one lease.
func (a *itemAttempt) runLease(ctx context.Context) itemVerdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.lease = a.partition.leaseOf(a)
	a.leaseBegan = clock.Now()
	over := time.AfterFunc(a.lease-leaseMargin, func() { cancel(errLeaseOver) })
	defer over.Stop()
	silence := time.AfterFunc(itemSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	client := a.partition.service.client
	answer, err := client.Do(ctx, a.handle, a.call(client.Headers()))
	if err != nil {
		a.err = errors.Join(err, context.Cause(ctx))
		a.noteFailure()
		if errors.Is(err, replica.ErrNotSent) {
			return itemRefused
		}
		return itemCut
	}
	a.status = answer.Status
	if answer.Status != http.StatusOK {
		_, err := io.CopyN(io.Discard, answer.Body, maxErrorBody)
		answer.Close(errors.Is(err, io.EOF))
		return a.judge(answer, client.Headers())
	}
	verdict := a.readStream(ctx, answer, silence)
	answer.Close(verdict == itemDone)
	return verdict
}

// noteEvents takes in that events have come. The first ones of a further lease show what its begin cost: the time beyond the usual one
// between events.
func (a *itemAttempt) noteEvents(now time.Time) {
	if a.resumed {
		a.resumed = false
		a.partition.service.leases.observe(max(0, now.Sub(a.leaseBegan)-a.gap))
	} else {
		a.gap = now.Sub(a.eventsAt)
	}
	a.eventsAt = now
}

// noteFailure counts against the replica unless this process itself cut the attempt off.
func (a *itemAttempt) noteFailure() {
	if errors.Is(a.err, replica.ErrEvacuated) {
		return
	}
	if !errors.Is(a.err, errLeaseOver) && !errors.Is(a.err, quarantine.ErrSuspected) && (!errors.Is(a.err, context.Canceled) || errors.Is(a.err, errSilent)) {
		a.handle.Failed(clock.Now())
	}
}

// headerOf returns the fields that an item came with.
func headerOf(sent *batchpb.Item) http.Header {
	header := make(http.Header, len(sent.Headers)+4)
	for _, each := range sent.Headers {
		header.Add(each.Name, each.Value)
	}
	return header
}

// call returns the item's request.
func (a *itemAttempt) call(names replica.Headers) replica.Call {
	header := headerOf(a.sent)
	header.Del(names.APIKey)
	header.Del(names.Tenant)
	if a.tenant != "" {
		header.Set(names.Tenant, a.tenant)
	}
	header.Set(names.RequestID, a.sent.Id)
	header.Set(names.ExpectInstance, a.handle.Info().ID)
	header.Set(names.Deadline, strconv.FormatInt(a.lease.Milliseconds(), 10))
	if a.lastEvent != "" {
		header.Set(names.LastEventID, a.lastEvent)
	}
	return replica.Call{
		Method: http.MethodPost, Target: a.sent.Path, Host: a.host, Header: header, Body: a.sent.Body, RequestID: a.sent.Id, AdmittedAt: a.admittedAt,
	}
}

// judge tells what an answer that is no stream means.
func (a *itemAttempt) judge(answer *replica.Answer, names replica.Headers) itemVerdict {
	switch {
	case answer.Status == http.StatusMisdirectedRequest, answer.Header.Get(names.NotRun) != "":
		a.handle.Refused(answer.Status, clock.Now())
		return itemRefused
	case answer.Status == http.StatusUnprocessableEntity:
		return itemImpossible
	default:
		a.handle.Failed(clock.Now())
		return itemFailed
	}
}

// readStream collects the events' data. Only an answer that tells its own end can be whole: after any other the item is
// sent once more behind its last event.
func (a *itemAttempt) readStream(ctx context.Context, answer *replica.Answer, silence *time.Timer) itemVerdict {
	reader := eventstream.NewReader(answer.Body)
	for {
		events, err := reader.Next()
		if len(events.Bytes) > 0 {
			silence.Reset(itemSilence)
			a.noteEvents(clock.Now())
			a.text = eventstream.AppendData(a.text, events.Bytes)
			if events.LastID != "" {
				a.lastEvent = events.LastID
			}
			a.partition.keepProgress(a)
		}
		if errors.Is(err, io.EOF) && answer.Framed {
			a.handle.Succeeded()
			return itemDone
		}
		if err != nil {
			a.err = errors.Join(err, context.Cause(ctx))
			a.noteFailure()
			return itemCut
		}
	}
}

// keepProgress notes what a running item has made.
func (p *partition) keepProgress(attempt *itemAttempt) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if run := p.runs[attempt.key]; run != nil {
		run.text, run.lastEvent, run.progressAt = attempt.text, attempt.lastEvent, p.elapsed()
	}
}

// took takes in how an attempt ended.
func (p *partition) took(attempt *itemAttempt, verdict itemVerdict) {
	if verdict != itemDone {
		p.logNotDone(attempt, verdict)
	}
	p.noteEnd(attempt.key)
	switch verdict {
	case itemDone:
		p.finish(attempt.key, batchpb.State_STATE_SUCCEEDED, string(attempt.text), "done")
	case itemImpossible:
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", "impossible")
	case itemFailed:
		p.tookFailure(attempt)
	case itemRefused:
		p.requeue(attempt.key, pauseAfterRefusal)
	case itemCut:
		p.requeue(attempt.key, 0)
	case itemNotSent:
		p.requeue(attempt.key, pauseWhileSuspected)
	case itemRejected:
		p.tookRejection(attempt)
	}
	p.wake()
}

// logNotDone writes how an attempt ended that did not finish its item, also one that the loss of the ownership ended: which attempt of this
// owner it was, and how many failures were counted before it.
func (p *partition) logNotDone(attempt *itemAttempt, verdict itemVerdict) {
	p.mutex.Lock()
	run := p.runOf(attempt.key)
	begins, failures := run.begins, run.failures
	p.mutex.Unlock()
	p.logger.Info().Str(logging.FieldRequest, attempt.sent.Id).Str(logging.FieldJob, attempt.key.job).
		Str(logging.FieldReplica, attempt.handle.Info().ID).Stringer("verdict", verdict).Int("status", attempt.status).
		Int("begins", begins).Int("failures_before", failures).Bool("owned", p.ctx.Err() == nil).
		Str("last_event", attempt.lastEvent).Err(attempt.err).Msg("item_not_done")
}

func (p *partition) requeue(key itemKey, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.runOf(key)
	run.running, run.notBefore = false, p.elapsed()+pause
}

// finish lists an item; it tries until that is durable or the ownership is lost. The item counts as running meanwhile.
func (p *partition) finish(key itemKey, listedAs batchpb.State, text, reason string) {
	listed := func(of *item) bool { return of.listed }
	if !p.untilDurable(key, "result_not_listed", listed, func() error { return p.proposeResult(key, listedAs, text) }) {
		return
	}
	p.mutex.Lock()
	delete(p.runs, key)
	p.mutex.Unlock()
	if listedAs == batchpb.State_STATE_DEAD_LETTER {
		p.logger.Info().Str(logging.FieldJob, key.job).Int("item", key.number).Str(logging.FieldReason, reason).Msg("item_dead")
	}
}

// untilDurable proposes a record about an item until the state has it, as recorded says, or nothing is left to do for the item. It returns false
// where the ownership is lost before. failed is the message of the log line on each try that fails.
func (p *partition) untilDurable(key itemKey, failed string, recorded func(of *item) bool, propose func() error) bool {
	for p.ctx.Err() == nil && !p.hasRecorded(key, recorded) {
		err := propose()
		if err == nil {
			continue
		}
		p.logger.Warn().Str(logging.FieldJob, key.job).Int("item", key.number).Err(err).Str(logging.FieldReason, string(outcome.As(err).Reason)).Msg(failed)
		if !pause.Sleep(p.ctx, retryAppend) {
			return false
		}
	}
	return p.ctx.Err() == nil
}

func (p *partition) proposeResult(key itemKey, listedAs batchpb.State, text string) error {
	p.textOrder.Lock()
	request := newProposal(p.resultRecord(key, listedAs, text))
	err := p.enqueue(p.ctx, request)
	p.textOrder.Unlock()
	if err != nil {
		return err
	}
	return p.await(p.ctx, request)
}

// resultRecord makes the record that lists an item; of its text it holds what the log lacks.
func (p *partition) resultRecord(key itemKey, listedAs batchpb.State, text string) ledger.Record {
	result := &batchpb.Result{JobId: key.job, Item: uint32(key.number), State: listedAs}
	if listedAs == batchpb.State_STATE_SUCCEEDED {
		p.mutex.Lock()
		run := p.runOf(key)
		if run.finishing {
			// An earlier try did not list it: what was on its way to the log may not have come there.
			run.logged = len(p.state.jobs[key.job].items[key.number].made())
		}
		run.finishing = true
		logged := run.logged
		if !run.startedWithText {
			result.RanMillis = uint64(run.ran.Milliseconds())
		}
		p.mutex.Unlock()
		result.Offset, result.Text = uint64(logged), text[logged:]
	}
	return recordOf(ledger.KindBatchResult, result)
}

// hasRecorded says that the log has what is asked for of an item, or that nothing is left to do for it.
func (p *partition) hasRecorded(key itemKey, asked func(of *item) bool) bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	owner := p.state.jobs[key.job]
	return owner == nil || owner.ended || owner.items[key.number].listed || asked(&owner.items[key.number])
}
