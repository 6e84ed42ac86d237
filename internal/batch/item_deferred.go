package batch

import (
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// deferralPart is the part of its route's retention, as its inverse, until the end of which an item's deciding run may wait.
	deferralPart = 2
	// mostDecisions bounds the deciding runs of a partition at a time.
	mostDecisions = 16
)

// decisions bounds the deciding runs of a partition at a time, as a slow start does: one at first and after each that ended its replica, one more with each that did not.
type decisions struct {
	// beyondFirst is the number allowed besides one.
	beyondFirst int
}

// admit says whether one more may begin beside those under way.
func (d *decisions) admit(underWay int) bool { return underWay <= d.beyondFirst }

// note takes in how a deciding run ended.
func (d *decisions) note(replicaEnded bool) {
	if replicaEnded {
		d.beyondFirst = 0
		return
	}
	d.beyondFirst = min(d.beyondFirst+1, mostDecisions-1)
}

// readyApart says that a suspected item need wait no longer, neither for others to go first nor for its deciding run.
func (p *partition) readyApart(each candidate) bool {
	p.mutex.Lock()
	run := p.runOf(each.key)
	message, paused := run.message, p.elapsed() < run.apartFrom
	p.mutex.Unlock()
	return !paused && !p.defers(each.key, message, each.route, each.acceptedAt)
}

// defers says that an item waits for its deciding run: the one after which it is sent to no replica any more, should one more end under it. It is made while hardly any replica
// ends for other reasons, but within a part of the route's retention, and while few other such runs are under way here, each of which may end its replica.
func (p *partition) defers(key itemKey, message quarantine.Key, of *route.Route, acceptedAt int64) bool {
	register := p.service.options.Quarantine
	if !register.Decides(message) {
		return false
	}
	calm := p.calmFor(of) || p.deferredLongEnough(of, acceptedAt)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.runOf(key)
	if calm && p.decisions.admit(p.decidingBeside(key)) {
		run.deciding = true
		return false
	}
	if !run.deferred {
		run.deferred = true
		p.logger.Info().Str(logging.FieldJob, key.job).Int("item", key.number).Stringer("digest", message).Bool("calm", calm).Msg("item_deferred")
	}
	run.apartFrom = p.elapsed() + pauseWhileSuspected
	return true
}

// calmFor says that replicas of all services of a route are calm.
func (p *partition) calmFor(of *route.Route) bool {
	for _, backend := range of.Backends {
		if !p.service.options.Quarantine.Calm(backend.Service) {
			return false
		}
	}
	return true
}

// decidingBeside counts the deciding runs of other items that are under way. The mutex is held.
func (p *partition) decidingBeside(key itemKey) int {
	count := 0
	for other, run := range p.runs {
		if other != key && run.deciding && run.running {
			count++
		}
	}
	return count
}

// deferredLongEnough says that an item's deciding run waits no longer for its replicas to be calm: at the end of the retention it would be given up without one.
func (p *partition) deferredLongEnough(of *route.Route, acceptedAt int64) bool {
	return p.keptFor(acceptedAt, of.Retention/deferralPart)
}

// mustDefer says that an item that was about to run apart waits instead: its keeper knew of more ends than this node.
func (p *partition) mustDefer(attempt *itemAttempt, message quarantine.Key) bool {
	p.mutex.Lock()
	acceptedAt := p.runOf(attempt.key).acceptedAt
	p.mutex.Unlock()
	return p.defers(attempt.key, message, attempt.route, acceptedAt)
}

// noteDecision takes in how a deciding run ended. One that was cut off says nothing.
func (p *partition) noteDecision(key itemKey, verdict itemVerdict, replicaEnded bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runOf(key).deciding && (replicaEnded || verdict == itemDone) {
		p.decisions.note(replicaEnded)
	}
}
