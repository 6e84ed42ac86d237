package batch

import (
	"context"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// dispatchInterval is how often room for items is checked while items wait, idleInterval while none does.
	dispatchInterval = 40 * time.Millisecond
	idleInterval     = time.Second
	// minPlanInterval is the least time between two plans: each goes through all unlisted items.
	minPlanInterval = 25 * time.Millisecond
	// loadPollInterval is how often replicas are asked for their load while items wait; loadPollTimeout bounds one answer.
	loadPollInterval = 300 * time.Millisecond
	loadPollTimeout  = 500 * time.Millisecond
	// unconfirmedRunLimit is how long items continue to run at an owner that cannot prove its ownership.
	unconfirmedRunLimit = 2500 * time.Millisecond
	// reportInterval is how often the state of a partition with work is logged.
	reportInterval = time.Second
	// maxOccupancy is the share of a replica's slots in use up to which items are sent to it.
	maxOccupancy = 0.9
	// itemZoneWeight makes a replica in another zone cost less than for an online request: an item runs for long.
	itemZoneWeight = 0.5
	// routeMissingTimeout is how long an item's route may be missing before the item is given up.
	routeMissingTimeout = 5 * time.Second
)

// itemKey identifies an item of a partition: its job's ID and its index in the job.
type itemKey struct {
	job    string
	number int
}

// itemRun is the state of an unlisted item that is not in the log.
type itemRun struct {
	running bool
	stop    context.CancelFunc
	// handle is the replica of the current run, startedAt the start of that run, since the partition's start.
	handle    *replica.Handle
	startedAt time.Duration
	// interrupted is true once interrupt has cut off the current run.
	interrupted bool
	// acceptedAt is when the job was accepted, in milliseconds since 1970; route is the route by which the item was last sent.
	acceptedAt int64
	route      *route.Route
	// attempts counts the attempts of this owner, runTime is the total time of its ended runs; startedWithText is true if an earlier
	// owner had received a part of the text. late is true if the latest plan marked the item late; certainlyLate is true if the item will be late
	// even if it continues.
	attempts        int
	runTime         time.Duration
	startedWithText bool
	late            bool
	certainlyLate   bool
	// atReplica is true while the item is at a replica: it was sent and its run has not ended.
	atReplica bool
	// text is what the item has generated, lastEvent the ID of the event after which a further run resumes. progressAt is when this
	// owner last received text, since the partition's start; 0 if it has received none.
	text       []byte
	lastEvent  string
	progressAt time.Duration
	// origin is that of the text, zero while there is none; originMissingSince is when no replica was first found that may go on with the
	// text, since the partition's start, 0 while there is one.
	origin             replica.Origin
	originMissingSince time.Duration
	// rewritten is true once the item was begun anew.
	rewritten bool
	// logged is the length of the part of text that is in the log or being appended.
	logged int
	// checkpointDue is when the text is to be logged next, since the partition's start.
	checkpointDue time.Duration
	// finishing is true while the item's result is being appended.
	finishing bool
	// failures counts the runs that a replica answered with a failure of its own, including those under earlier owners.
	failures int
	// message identifies what the item sends; zero until the item is first considered for sending.
	message quarantine.Key
	// parts identify the shared parts of the item's prompt; they are set with message.
	parts []quarantine.Key
	// apart is true if the current run is that of a suspected message.
	apart bool
	// crashes counts the replicas that ended under the item at this owner. A suspected item is not sent before apartNotBefore, since
	// the partition's start.
	crashes        int
	apartNotBefore time.Duration
	// deciding is true if the item is sent to no replica any more if the replica ends under the current run; deferralLogged is true
	// once the deferral of that run was logged.
	deciding       bool
	deferralLogged bool
	// holdBackLogged is true once it was logged that the item is kept from replicas.
	holdBackLogged bool
	// retry is true if the message was rejected and the current run is a retry. An item whose retry ended its replica is not sent
	// before retryNotBefore, since the partition's start.
	retry          bool
	retryNotBefore time.Duration
	// notBefore is when the item may be sent again, routeMissingSince when its route was first found missing, both since the
	// partition's start; routeMissingSince is 0 while there is a route.
	notBefore         time.Duration
	routeMissingSince time.Duration
}

// interrupt cuts off the run; the text received so far is kept.
func (r *itemRun) interrupt() {
	r.interrupted = true
	r.stop()
}

// runDispatcher sends items to replicas as long as the partition is owned.
func (p *partition) runDispatcher() {
	timer := time.NewTimer(dispatchInterval)
	defer timer.Stop()
	var polledAt, reportedAt, reportedStalledAt time.Duration
	for {
		plannedAt := p.elapsed()
		waiting := p.dispatch()
		p.checkOwnership()
		p.interruptOutsideHomes()
		if now := p.elapsed(); now-reportedAt >= reportInterval {
			reportedAt = now
			p.report()
		}
		if now := p.elapsed(); now-reportedStalledAt >= stalledAfter {
			reportedStalledAt = now
			p.reportStalled()
		}
		interval, earliest := idleInterval, time.Duration(0)
		if waiting {
			interval, earliest = dispatchInterval, plannedAt+minPlanInterval
			if now := p.elapsed(); now-polledAt >= loadPollInterval {
				polledAt = now
				p.pollLoads()
			}
		}
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-p.woken:
		case <-p.ctx.Done():
			return
		}
		if !pause.Sleep(p.ctx, earliest-p.elapsed()) {
			return
		}
	}
}

// dispatch sends the items that there is room for, the most urgent first. It reports whether items wait.
func (p *partition) dispatch() bool {
	table := p.service.routes.Table()
	if table == nil {
		return false
	}
	p.service.observeCapacity(table, clock.Now())
	candidates := p.candidates(table)
	if len(candidates) == 0 {
		return false
	}
	now := p.elapsed()
	if !p.confirmedSince(now - confirmWindow/2) {
		p.confirmSoon()
	}
	if !p.confirmedSince(now - confirmWindow) {
		return true
	}
	p.dispatchAll(candidates, table)
	return true
}

// dispatchAll sends the items that there is room for. Once a route's replicas in an item's homes have no room, further items for the
// same target are skipped.
func (p *partition) dispatchAll(candidates []candidate, table *route.Table) {
	full := map[target]bool{}
	for _, item := range candidates {
		if item.route == nil {
			p.routeMissing(item, table.Version)
			continue
		}
		if p.waitsForOrigin(&item) || full[item.target()] {
			continue
		}
		verdict := p.checkQuarantine(item)
		if verdict == quarantine.Rejected || p.waitsForRetry(item.key) {
			p.holdBack(item)
			continue
		}
		if verdict == quarantine.Apart {
			p.startApart(item)
			continue
		}
		handle := p.pick(item, maxOccupancy, nil)
		if handle == nil {
			full[item.target()] = true
			p.preemptLateRun(item)
			continue
		}
		if !p.service.takeColdStart(handle) {
			continue
		}
		p.start(item, handle)
	}
}

// checkOwnership has an owner with running items prove its ownership regularly, and interrupts the items if it cannot: a successor
// may already run them.
func (p *partition) checkOwnership() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.elapsed()
	unconfirmed := !p.confirmedSince(now - unconfirmedRunLimit)
	busy := false
	for _, run := range p.runs {
		if !run.running || run.handle == nil {
			continue
		}
		busy = true
		if unconfirmed && !run.interrupted {
			run.interrupt()
		}
	}
	if busy && !p.confirmedSince(now-confirmWindow/2) {
		p.confirmSoon()
	}
}

// confirmSoon proves the ownership by an append in the background, unless another append is queued.
func (p *partition) confirmSoon() {
	if len(p.proposals) > 0 {
		return
	}
	select {
	case p.proposals <- newProposal(ledger.Record{Kind: ledger.KindNoOperation}):
	default:
	}
}

// pick chooses a replica in the item's homes with room for it and with at most the share occupancy of its slots in use.
func (p *partition) pick(item candidate, occupancy float64, excluded []*replica.Handle) *replica.Handle {
	now := clock.Now()
	matched := item.route
	request := balance.Request{
		Service: matched.PickService(), Zone: p.service.options.Zone, MaxOccupancy: occupancy, ZoneWeight: itemZoneWeight, Homes: item.homes, Excluded: excluded,
		Origin: item.origin,
	}
	if p.service.hasRoom(request.Service, now) {
		if handle := p.service.picker.Pick(&request, now); handle != nil {
			return handle
		}
	}
	for _, backend := range matched.Backends {
		request.Service = backend.Service
		if !p.service.hasRoom(request.Service, now) {
			continue
		}
		if handle := p.service.picker.Pick(&request, now); handle != nil {
			return handle
		}
	}
	return nil
}

// routeMissing gives up an item whose route has been missing for routeMissingTimeout from the configuration of the given version. A
// version older than the one by which the item was accepted does not count: this owner has not received the newer one yet.
func (p *partition) routeMissing(item candidate, version int64) {
	key := item.key
	p.mutex.Lock()
	run := p.ensureRun(key)
	now := p.elapsed()
	if version < item.submission.ConfigurationVersion {
		run.notBefore = now + time.Second
		p.mutex.Unlock()
		return
	}
	if run.routeMissingSince == 0 {
		run.routeMissingSince = now
	}
	timedOut := now-run.routeMissingSince >= routeMissingTimeout
	run.notBefore = now + time.Second
	run.running = timedOut
	p.mutex.Unlock()
	if timedOut {
		p.background.Go(func() { p.finish(key, batchpb.State_STATE_DEAD_LETTER, "", "route_gone") })
	}
}

// ensureRun returns the run state of an item, and creates it if there is none. The mutex is held.
func (p *partition) ensureRun(key itemKey) *itemRun {
	run := p.runs[key]
	if run != nil {
		return run
	}
	run = &itemRun{}
	if job := p.state.jobs[key.job]; job != nil {
		// An owner that started to count at 0 would send a failing item as often again as each owner before it.
		run.failures = job.items[key.number].failures
		if progress := job.items[key.number].logged(); progress != nil {
			run.resumeFrom(progress)
		}
		// The time of the latest end is not recorded.
		if delay := job.items[key.number].retryDelay(); delay > 0 {
			run.retryNotBefore = p.elapsed() + delay
		}
	}
	p.runs[key] = run
	return run
}

// start runs an item at a replica in the background.
func (p *partition) start(item candidate, handle *replica.Handle) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	job := p.state.jobs[item.key.job]
	run := p.ensureRun(item.key)
	if p.quiesced || job == nil || !job.open() || job.items[item.key.number].listed || run.running {
		return
	}
	ctx, stop := context.WithCancel(p.ctx)
	run.acceptedAt, run.route = item.acceptedAt, item.route
	run.running, run.stop, run.handle, run.startedAt, run.interrupted = true, stop, handle, p.elapsed(), false
	run.countAttempt()
	p.countStart(item.late)
	attempt := &itemAttempt{
		partition: p, key: item.key, item: item.submission.Items[item.key.number], host: item.submission.Host, tenant: item.submission.Tenant,
		route: item.route, handle: handle, admittedAt: clock.Now(), text: run.text, lastEvent: run.lastEvent, origin: run.origin,
	}
	release := handle.Acquire()
	p.background.Go(func() {
		defer stop()
		verdict := p.runGuarded(ctx, attempt)
		release()
		p.handleAttemptEnd(attempt, verdict)
	})
}

// cancelRuns cuts off the running items of a job.
func (p *partition) cancelRuns(jobID string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, run := range p.runs {
		if key.job == jobID && run.running && run.stop != nil {
			run.stop()
		}
	}
}
