package batch

import (
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// deferralDivisor divides the route's retention: an item's deciding run is deferred for at most the resulting time after the
	// job was accepted.
	deferralDivisor = 2
	// maxDecidingRuns bounds the concurrent deciding runs of a partition.
	maxDecidingRuns = 16
)

// decidingRunLimit limits the concurrent deciding runs of a partition by a slow start: 1 at first and after a deciding run that
// ended its replica, one more after each that did not, up to maxDecidingRuns.
type decidingRunLimit struct {
	// extraAllowed is the number of concurrent deciding runs allowed in addition to one.
	extraAllowed int
}

// admit reports whether another deciding run may start while inFlight ones are running.
func (d *decidingRunLimit) admit(inFlight int) bool { return inFlight <= d.extraAllowed }

// observe adjusts the limit after a deciding run.
func (d *decidingRunLimit) observe(replicaEnded bool) {
	if replicaEnded {
		d.extraAllowed = 0
		return
	}
	d.extraAllowed = min(d.extraAllowed+1, maxDecidingRuns-1)
}

// mayRunApart reports whether a suspected item need not wait any longer, neither for its backoff to end nor for its deciding run.
func (p *partition) mayRunApart(item candidate) bool {
	p.mutex.Lock()
	run := p.ensureRun(item.key)
	message, paused := run.message, p.elapsed() < run.apartNotBefore
	p.mutex.Unlock()
	return !paused && !p.deferDecidingRun(item.key, message, item.route, item.acceptedAt)
}

// deferDecidingRun reports whether an item must wait before its deciding run: the run that rejects its message if the replica ends
// under it, or a retry of a rejected message. The run is made while the route's services are stable, so that its replica is unlikely
// to end for another reason, or once the deferral is over. In both cases few other deciding runs may be in flight here, since each of
// them may end its replica.
func (p *partition) deferDecidingRun(key itemKey, message quarantine.Key, matched *route.Route, acceptedAt int64) bool {
	register := p.service.options.Quarantine
	if !register.NextEndRejects(message) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		run := p.ensureRun(key)
		run.deciding, run.retry = false, false
		return false
	}
	retries := register.Retries(message)
	waitOver := p.backendsStable(matched, message, retries) || !retries && p.deferralOver(matched, acceptedAt)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.ensureRun(key)
	if waitOver && p.decidingRuns.admit(p.otherDecidingRuns(key)) {
		run.deciding, run.retry = true, retries
		return false
	}
	if !run.deferralLogged {
		run.deferralLogged = true
		p.logger.Info().Str(logging.FieldJob, key.job).Int("item", key.number).Stringer("digest", message).Bool("calm", waitOver).Msg("item_deferred")
	}
	run.apartNotBefore = p.elapsed() + suspectedRetryDelay
	return true
}

// backendsStable reports whether all services of a route are stable by the quarantine's evidence, so that the message may make its
// deciding run or be retried.
func (p *partition) backendsStable(matched *route.Route, message quarantine.Key, retries bool) bool {
	register := p.service.options.Quarantine
	for _, backend := range matched.Backends {
		if !register.Stable(backend.Service) || retries && !register.StableForRetry(message, backend.Service) {
			return false
		}
	}
	return true
}

// otherDecidingRuns counts the deciding runs of other items that are in flight. The mutex is held.
func (p *partition) otherDecidingRuns(key itemKey) int {
	count := 0
	for other, run := range p.runs {
		if other != key && run.deciding && run.running {
			count++
		}
	}
	return count
}

// deferralOver reports whether an item's deciding run no longer waits for stable services: at the end of the retention the item would
// be given up without that run. Retries wait for stable services in any case.
func (p *partition) deferralOver(matched *route.Route, acceptedAt int64) bool {
	return p.olderThan(acceptedAt, matched.Retention/deferralDivisor)
}

// mustDeferAttempt reports whether an item that was about to run apart must wait for its deciding run after all: the keeper of its
// message knew of more ended replicas than this node.
func (p *partition) mustDeferAttempt(attempt *itemAttempt, message quarantine.Key) bool {
	p.mutex.Lock()
	acceptedAt := p.ensureRun(attempt.key).acceptedAt
	p.mutex.Unlock()
	return p.deferDecidingRun(attempt.key, message, attempt.route, acceptedAt)
}

// observeDecidingRun notes the end of a deciding run. A run that was interrupted shows nothing and is ignored.
func (p *partition) observeDecidingRun(key itemKey, verdict itemVerdict, replicaEnded bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ensureRun(key).deciding && (replicaEnded || verdict == itemDone) {
		p.decidingRuns.observe(replicaEnded)
	}
}
