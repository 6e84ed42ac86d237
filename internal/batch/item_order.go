package batch

import (
	"cmp"
	"slices"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// maxCandidates bounds the items that one dispatch sends, maxScanned those that it examines.
	maxCandidates = 64
	maxScanned    = 4096
	// inTimePerLate is the number of items in time after which a late one is started, so that no item waits forever.
	inTimePerLate = 16
)

// candidate is an item that could be sent to a replica.
type candidate struct {
	key        itemKey
	submission *batchpb.Submission
	route      *route.Route
	acceptedAt int64
	// homes are the regions in which the item may run.
	homes region.Set
	// origin is that of the item's text; zero if it has none.
	origin replica.Origin
	// due is when the result is wanted; zero if there is no such time.
	due time.Time
	// late is true if the item will probably not be done when it is due.
	late bool
	// running is true while the item is at a replica, started once it has been at one. remaining is the estimated time that it still
	// needs at replicas.
	running   bool
	started   bool
	remaining time.Duration
	// textSize is the size of the text generated so far, in bytes.
	textSize int
}

// certainlyLate reports whether the item will be late even if it runs from now on without a break.
func (c candidate) certainlyLate(now time.Time) bool {
	return !c.due.IsZero() && c.remaining > c.due.Sub(now)
}

// compareCandidates orders items: those that can be in time come first, by due time; late ones follow. Equal items are ordered by
// acceptance, and within a job by the size of their text, the largest first.
func compareCandidates(a, b candidate) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if !a.late {
		if order := compareDue(a.due, b.due); order != 0 {
			return order
		}
	}
	if order := cmp.Compare(a.acceptedAt, b.acceptedAt); order != 0 {
		return order
	}
	return -cmp.Compare(a.textSize, b.textSize)
}

// compareDue orders times; zero sorts last.
func compareDue(a, b time.Time) int {
	switch {
	case a.IsZero() == b.IsZero():
		return a.Compare(b)
	case a.IsZero():
		return 1
	default:
		return -1
	}
}

// candidates returns the items that could be sent now, the most urgent first.
func (p *partition) candidates(table *route.Table) []candidate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.quiesced {
		return nil
	}
	var found []candidate
	for _, job := range p.state.order {
		if job.open() {
			found = p.appendCandidates(found, table, job)
		}
		if len(found) >= maxScanned {
			break
		}
	}
	p.plans.Add(1)
	markLate(found, p.now(), p.service.capacity.slots())
	p.storeLateness(found)
	waiting := slices.DeleteFunc(found, func(item candidate) bool { return item.running })
	slices.SortStableFunc(waiting, compareCandidates)
	return p.withLateShare(waiting)
}

// appendCandidates adds the unlisted items of a job, except those that are finishing or paused. The mutex is held.
func (p *partition) appendCandidates(found []candidate, table *route.Table, job *jobState) []candidate {
	now := p.elapsed()
	for number := range job.items {
		key := itemKey{job: job.submission.JobId, number: number}
		run := p.runs[key]
		if job.items[number].listed || (run != nil && (run.finishing || (!run.running && now < run.notBefore))) {
			continue
		}
		item := job.submission.Items[number]
		added := candidate{
			key: key, submission: job.submission, acceptedAt: job.acceptedAt, route: table.Match(job.submission.Host, item.Path),
			running: run != nil && run.running, started: run != nil && run.attempts > 0,
		}
		added.origin, added.textSize = p.textOf(job, key)
		if added.route != nil {
			if run != nil {
				run.routeMissingSince = 0
			}
			added.homes = table.AllowedRegionsOf(added.route, job.submission.Tenant)
			added.due = dueTime(added.route, job.acceptedAt)
			added.remaining = p.state.paceOf(added.route.Name).remaining(item.Tokens, added.textSize)
		}
		found = append(found, added)
	}
	return found
}

// storeLateness stores the lateness of items in their runs, for the choice of runs to preempt. The mutex is held.
func (p *partition) storeLateness(found []candidate) {
	now := p.now()
	for _, item := range found {
		if run := p.runs[item.key]; run != nil {
			run.late, run.certainlyLate = item.late, item.certainlyLate(now)
		}
	}
}

// withLateShare returns the first maxCandidates items. If inTimePerLate items in time were started since the last late one, the
// first late item is moved to the front. The mutex is held.
func (p *partition) withLateShare(sorted []candidate) []candidate {
	firstLate := slices.IndexFunc(sorted, func(item candidate) bool { return item.late })
	if firstLate > 0 && p.inTimeSinceLate >= inTimePerLate {
		late := sorted[firstLate]
		sorted = slices.Insert(slices.Delete(sorted, firstLate, firstLate+1), 0, late)
	}
	return sorted[:min(len(sorted), maxCandidates)]
}

// textOf returns the origin and the size in bytes of the text that an unlisted item has so far. The mutex is held.
func (p *partition) textOf(job *jobState, key itemKey) (replica.Origin, int) {
	if run := p.runs[key]; run != nil {
		return run.origin, len(run.text)
	}
	item := &job.items[key.number]
	return originOf(item.logged()), len(item.loggedText())
}

// dueTime returns when the results of a job are wanted; zero if its route has no completion target.
func dueTime(matched *route.Route, acceptedAt int64) time.Time {
	if matched.CompletionTarget <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(acceptedAt).Add(matched.CompletionTarget)
}
