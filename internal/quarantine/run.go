package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/subscription"
)

// permit implements Permit.
type permit struct {
	service *Service
	key     Key
	verdict Verdict
	// parts are the shared parts of the message's prompt, probes those of them that are rejected and tested by this run.
	parts, probes []Key
	// item reports that the message is that of a batch item.
	item bool
	// knownIncidents is the number of open incidents of the message that this node knew when it issued the permit.
	knownIncidents int
	// grantedRun is the number of the run that the keeper granted; 0 if no grant was needed.
	grantedRun uint64
	keeper     membership.Member
	// retry reports that the message was rejected and is retried.
	retry bool
	// allowedByKeeper reports that the keeper allowed the message although this node suspects it.
	allowedByKeeper bool
	// replicaKey is the key of the replica at which the granted run is; 0 before it is sent. replicaChosen wakes the
	// renewal, which reports the replica to the keeper.
	replicaKey    atomic.Uint64
	replicaChosen chan struct{}
	// stopRenewing stops the renewal of the grant; nil without a grant or after Release.
	stopRenewing context.CancelFunc
}

// Verdict implements Permit.
func (p *permit) Verdict() Verdict { return p.verdict }

// Occupied implements Permit.
func (p *permit) Occupied() []*replica.Handle {
	if p.verdict != Apart {
		return nil
	}
	p.service.mutex.Lock()
	defer p.service.mutex.Unlock()
	var found []*replica.Handle
	for key, runs := range p.service.runs {
		if key == p.key || p.service.evidence.verdict(key) == Allowed {
			continue
		}
		for run := range runs {
			found = append(found, run.handle)
		}
	}
	return found
}

// Release implements Permit.
func (p *permit) Release() {
	if len(p.probes) > 0 {
		p.service.releaseProbes(p.probes)
		p.probes = nil
	}
	if p.stopRenewing == nil {
		return
	}
	stop := p.stopRenewing
	p.stopRenewing = nil
	stop()
	p.service.releaseGrant(p.key, p.grantedRun, p.keeper)
}

// Begin implements Permit.
func (p *permit) Begin(handle *replica.Handle, cut func()) Run {
	started := &run{
		service: p.service, key: p.key, handle: handle, cut: cut,
		startedAt: clock.Now(), granted: p.grantedRun != 0, item: p.item, retry: p.retry, parts: p.parts, probing: len(p.probes) > 0,
	}
	if p.grantedRun != 0 {
		p.replicaKey.Store(uint64(handle.Key()))
		subscription.Signal(p.replicaChosen)
	}
	p.service.mutex.Lock()
	defer p.service.mutex.Unlock()
	started.deciding = started.item && (started.granted || p.allowedByKeeper) && (p.retry || p.service.evidence.nextRunDecides(p.key))
	if p.retry {
		p.service.logRetry(p.key, handle.Info().ID)
	}
	if p.service.runs[p.key] == nil {
		p.service.runs[p.key] = map[*run]bool{}
	}
	p.service.runs[p.key][started] = true
	// The keeper may allow a message that this node's evidence speaks against, since it knows more. Only evidence that
	// arrived after the permit was issued ends the run.
	if len(p.service.evidence.openIncidents(p.key)) > p.knownIncidents {
		p.service.cutRuns(p.key)
	}
	return started
}

// run implements Run.
type run struct {
	service   *Service
	key       Key
	handle    *replica.Handle
	cut       func()
	startedAt time.Time
	granted   bool
	// parts are the shared parts of the message's prompt. receivedEvents is the number of events of the answer so far, up to
	// begunEvents.
	parts          []Key
	receivedEvents int
	// probing reports that the run tests a rejected part.
	probing bool
	// item reports that the run is that of a batch item.
	item bool
	// deciding reports that it is the deciding run of an item, which its owner deferred by this node's evidence.
	deciding bool
	// retry reports that it is a retry of an item whose message was rejected.
	retry bool
	// progressed reports that the run produced events after which a further run resumes; reached is the number of
	// events in the answer then.
	progressed bool
	reached    int
	// expired reports that the run ended with its lease, so that the replica may have made more events than reached.
	expired bool
	// aborted reports that this node aborted the run or that its grant lapsed; the service's mutex guards it.
	aborted bool
	// unseen reports that the run was made by another node, which did not report its result.
	unseen bool
}

// begunEvents is the number of events from which an answer has begun: a replica that ends as it begins to write may still
// deliver the first one.
const begunEvents = 2

// begun reports whether the answer has begun.
func (r *run) begun() bool { return r.receivedEvents >= begunEvents }

// Received implements Run.
func (r *run) Received(events int) {
	if r.begun() {
		return
	}
	if r.receivedEvents = min(begunEvents, r.receivedEvents+events); r.begun() {
		r.service.clearParts(r.parts)
	}
}

// Progress implements Run.
func (r *run) Progress(from, to int) {
	r.progressed, r.reached = to > from, to
}

// End implements Run.
func (r *run) End(ctx context.Context, ending Ending) (replicaEnded bool) {
	r.service.endRun(r, ending)
	switch ending {
	case Whole:
		r.service.clearMessage(r.key)
		if !r.begun() {
			r.service.clearParts(r.parts)
		}
		return false
	case Lost, Interrupted, Expired:
		return r.concludeLost(ctx, ending)
	}
	if r.progressed {
		r.service.clearAfterProgress(r.key, r.reached)
	}
	if ending == Aborted {
		r.service.trackAborted(r)
	}
	return false
}

// endRun removes a run. A lost run delays further runs of its message until it is known whether the replica has ended.
func (s *Service) endRun(ended *run, ending Ending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runs[ended.key], ended)
	if len(s.runs[ended.key]) == 0 {
		delete(s.runs, ended.key)
	}
	if ending == Lost || ending == Interrupted || ending == Expired {
		s.pendingInquiries[ended.key]++
	}
}

// concludeLost waits for the inquiry into the replica. If its process has ended, that counts against the message;
// otherwise the run may count as a loss.
func (r *run) concludeLost(ctx context.Context, ending Ending) (replicaEnded bool) {
	runDuration := clock.Since(r.startedAt)
	r.expired = ending == Expired
	inquiry := r.service.inquire(r.handle)
	select {
	case <-inquiry.done:
	case <-r.service.ctx.Done():
	}
	r.service.mutex.Lock()
	defer r.service.mutex.Unlock()
	if r.service.pendingInquiries[r.key]--; r.service.pendingInquiries[r.key] <= 0 {
		delete(r.service.pendingInquiries, r.key)
	}
	if inquiry.counted && !r.begun() {
		r.service.suspectParts(r, inquiry.at)
	}
	switch {
	case inquiry.counted && (ending == Lost || runDuration <= shortRunDuration || r.item):
		r.service.suspect(r, inquiry.at, runDuration)
	case inquiry.counted:
		// A further run of the request need not make these events again.
	case r.progressed:
		r.service.clearEndsBefore(r.key, r.reached)
		r.service.clearLosses(r.key)
	case inquiry.ended, r.handle.Info().Draining:
		// A draining replica ends its runs as planned.
	default:
		r.service.addLoss(r)
	}
	r.service.signalChanged()
	r.service.logger.Info().Stringer("digest", r.key).Str(logging.FieldReplica, r.handle.Info().ID).Dur("ran", runDuration).
		Str("finding", string(inquiry.finding)).
		Bool("counted", inquiry.counted).Bool("granted", r.granted).Bool("progressed", r.progressed).Msg("run_lost")
	return inquiry.ended && ctx.Err() == nil
}
