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
	// item says that the message is that of an item.
	item bool
	// knownIncidents is the number of ended replicas that spoke against the message here when the permit was given.
	knownIncidents int
	// grantedRun is the number of the grant that the keeper gave; 0 where none was needed.
	grantedRun uint64
	keeper     membership.Member
	// replicaKey is the key of the replica at which the granted run is; 0 before it was sent. placed wakes the renewal, which tells the keeper.
	replicaKey    atomic.Uint64
	replicaChosen chan struct{}
	// stopRenewing ends the renewal of the grant.
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
	started := &run{service: p.service, key: p.key, handle: handle, cut: cut, startedAt: clock.Now(), granted: p.grantedRun != 0, item: p.item}
	if p.grantedRun != 0 {
		p.replicaKey.Store(uint64(handle.Key()))
		subscription.Signal(p.replicaChosen)
	}
	p.service.mutex.Lock()
	defer p.service.mutex.Unlock()
	if p.service.runs[p.key] == nil {
		p.service.runs[p.key] = map[*run]bool{}
	}
	p.service.runs[p.key][started] = true
	// A keeper may allow what this node's book speaks against, since it knows more: only what was learned after the permit ends the run.
	if len(p.service.evidence.openIncidents(p.key)) > p.knownIncidents {
		p.service.cutRuns(p.key)
	}
	return started
}

// run is a message at a replica.
type run struct {
	service   *Service
	key       Key
	handle    *replica.Handle
	cut       func()
	startedAt time.Time
	granted   bool
	// item says that it is a run of an item.
	item bool
	// progressed says that the run made events that a further run goes on behind; reached is how many the answer had then.
	progressed bool
	reached    int
	// aborted says that the run was broken off from here; the service's mutex guards it.
	aborted bool
	// unseen says that the run is that of another node, which did not say what it made.
	unseen bool
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
		return false
	case Lost, Interrupted:
		return r.concludeLost(ctx, ending)
	}
	if r.progressed {
		r.service.clearAfterProgress(r.key, r.reached)
	}
	if ending == Left {
		r.service.trackAborted(r)
	}
	return false
}

// endRun forgets a run; a lost one holds its message back until it is known whether the replica has ended.
func (s *Service) endRun(ended *run, ending Ending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runs[ended.key], ended)
	if len(s.runs[ended.key]) == 0 {
		delete(s.runs, ended.key)
	}
	if ending == Lost || ending == Interrupted {
		s.pendingInquiries[ended.key]++
	}
}

// concludeLost waits for the inquiry into the replica and, where its process has ended, counts that against the message.
func (r *run) concludeLost(ctx context.Context, ending Ending) (replicaEnded bool) {
	runDuration := clock.Since(r.startedAt)
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
	switch {
	case inquiry.counted && (ending == Lost || runDuration <= shortRunDuration || r.item):
		r.service.suspect(r, inquiry.at, runDuration)
	case inquiry.ended, r.handle.Info().Draining:
		// A replica that is leaving ends runs as planned.
	case r.progressed:
		r.service.clearLosses(r.key)
	default:
		r.service.addLoss(r)
	}
	r.service.signalChanged()
	r.service.logger.Info().Stringer("digest", r.key).Str(logging.FieldReplica, r.handle.Info().ID).Dur("ran", runDuration).Str("finding", string(inquiry.finding)).
		Bool("counted", inquiry.counted).Bool("granted", r.granted).Bool("progressed", r.progressed).Msg("run_lost")
	return inquiry.ended && ctx.Err() == nil
}
