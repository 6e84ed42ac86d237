package batch

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// countAttempt counts the start of a run. The partition's mutex is held.
func (r *itemRun) countAttempt() {
	r.attempts++
	if r.attempts > 1 {
		return
	}
	r.startedWithText = len(r.text) > 0
	// Items that start together are not logged together.
	r.checkpointDue = r.startedAt + rand.N(checkpointInterval)
}

// countStart counts the items in time that were started since the last late one. The mutex is held.
func (p *partition) countStart(late bool) {
	if late {
		p.inTimeSinceLate = 0
		return
	}
	p.inTimeSinceLate++
}

// setAtReplica stores whether an item is at a replica: it was sent and its run there has not ended.
func (p *partition) setAtReplica(key itemKey, atReplica bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if run := p.runs[key]; run != nil {
		run.atReplica = atReplica
	}
}

// recordRunEnd adds the run that has just ended to the item's time at replicas.
func (p *partition) recordRunEnd(key itemKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.runs[key]
	if run == nil || run.route == nil {
		return
	}
	run.apart, run.deciding, run.retry = false, false, false
	run.runTime += p.elapsed() - run.startedAt
}

// preemptibleRun is a running item that may be preempted.
type preemptibleRun struct {
	key   itemKey
	run   *itemRun
	rated candidate
}

// comparePreemptible orders runs by which is to be preempted first: a late one before one that can be in time, then the one due last,
// then the one that started last.
func comparePreemptible(a, b preemptibleRun) int {
	if order := compareCandidates(b.rated, a.rated); order != 0 {
		return order
	}
	return cmp.Compare(b.run.startedAt, a.run.startedAt)
}

// preemptibleRuns returns the running items at the replicas of service in homes that may go on with a text of the given origin, zero for
// none, in no order. The mutex is held.
func (p *partition) preemptibleRuns(service string, homes region.Set, origin replica.Origin) []preemptibleRun {
	var found []preemptibleRun
	for key, run := range p.runs {
		if !run.running || run.interrupted || run.finishing || run.handle == nil || run.handle.Info().Service != service {
			continue
		}
		if run.handle.Evacuated() {
			// It ends without being preempted, and preempting it frees no room at the remaining replicas.
			continue
		}
		if !p.service.picker.InAllowedRegion(homes, run.handle) || !origin.IsZero() && !origin.MayContinueAt(run.handle) {
			continue
		}
		found = append(found, preemptibleRun{key: key, run: run, rated: runAsCandidate(run)})
	}
	return found
}

// leastUrgentRun returns the run to preempt first, zero if there is none. The mutex is held.
func (p *partition) leastUrgentRun(service string, homes region.Set, origin replica.Origin) (itemKey, *itemRun) {
	runs := p.preemptibleRuns(service, homes, origin)
	if len(runs) == 0 {
		return itemKey{}, nil
	}
	least := slices.MinFunc(runs, comparePreemptible)
	return least.key, least.run
}

// runAsCandidate returns a running item as a candidate, to compare it with others. The partition's mutex is held.
func runAsCandidate(run *itemRun) candidate {
	rated := candidate{acceptedAt: run.acceptedAt, late: run.late}
	if run.route != nil {
		rated.due = dueTime(run.route, run.acceptedAt)
	}
	return rated
}

// preempt cuts off a run to make room. The mutex is held.
func (p *partition) preempt(key itemKey, run *itemRun) {
	run.interrupt()
	p.preemptions.Add(1)
	p.logger.Debug().Str("job", key.job).Int("item", key.number).Int("made_bytes", len(run.text)).Dur("ran", p.elapsed()-run.startedAt).Msg("item_cut_off")
}

// preemptLateRun cuts off a run that is certain to be late if an item that can be in time finds no room. A run that is only planned
// to be late may still be in time if it continues, and needs less for that than an item that has not started.
func (p *partition) preemptLateRun(waiting candidate) {
	if waiting.late {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, backend := range waiting.route.Backends {
		key, run := p.leastUrgentRun(backend.Service, waiting.homes, waiting.origin)
		if run != nil && run.certainlyLate {
			p.preempt(key, run)
			return
		}
	}
}
