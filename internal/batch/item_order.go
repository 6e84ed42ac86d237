package batch

import (
	"cmp"
	"slices"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	// maxCandidates bounds the items that are sent in one go, maxScanned those that are looked at.
	maxCandidates = 64
	maxScanned    = 4096
	// lateShare is the number of items in time after which one begins that will be late, so that none waits for ever.
	lateShare = 16
)

// candidate is an item that could be sent to a replica.
type candidate struct {
	key        itemKey
	submission *batchpb.Submission
	route      *route.Route
	acceptedAt int64
	// homes are the regions in which the item may run.
	homes region.Set
	// due is the time until which the result is wanted; zero is no such time.
	due time.Time
	// late says that the item is not likely to be done until then.
	late bool
	// running says that the item is at a replica, begun that it has been at one, left what it still needs there.
	running bool
	begun   bool
	left    time.Duration
	// madeText is the size of what the item has made, in bytes.
	madeText int
}

// hopeless says that the item will be late even if it runs on from now.
func (c candidate) hopeless(now time.Time) bool {
	return !c.due.IsZero() && c.left > c.due.Sub(now)
}

// compareCandidates orders items: those that can be in time by when they are due, of one job those first that have made most;
// behind them the others in the order of acceptance.
func compareCandidates(one, other candidate) int {
	if one.late != other.late {
		if one.late {
			return 1
		}
		return -1
	}
	if !one.late {
		if order := compareDue(one.due, other.due); order != 0 {
			return order
		}
	}
	if order := cmp.Compare(one.acceptedAt, other.acceptedAt); order != 0 {
		return order
	}
	return -cmp.Compare(one.madeText, other.madeText)
}

// compareDue orders times; zero stands behind all.
func compareDue(one, other time.Time) int {
	switch {
	case one.IsZero() == other.IsZero():
		return one.Compare(other)
	case one.IsZero():
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
	for _, each := range p.state.order {
		if each.open() {
			found = p.appendCandidates(found, table, each)
		}
		if len(found) >= maxScanned {
			break
		}
	}
	markLate(found, p.now(), p.service.capacity.slots())
	p.rememberLate(found)
	waiting := slices.DeleteFunc(found, func(each candidate) bool { return each.running })
	slices.SortStableFunc(waiting, compareCandidates)
	return p.withLateShare(waiting)
}

// appendCandidates adds the unlisted items of a job, but for those that wait out a pause. The mutex is held.
func (p *partition) appendCandidates(found []candidate, table *route.Table, owner *job) []candidate {
	now := p.elapsed()
	for number := range owner.items {
		key := itemKey{job: owner.submission.JobId, number: number}
		run := p.runs[key]
		if owner.items[number].listed || (run != nil && (run.finishing || (!run.running && now < run.notBefore))) {
			continue
		}
		sent := owner.submission.Items[number]
		each := candidate{
			key: key, submission: owner.submission, acceptedAt: owner.acceptedAt, route: table.Match(owner.submission.Host, sent.Path),
			running: run != nil && run.running, begun: run != nil && run.begins > 0, madeText: p.madeText(owner, key),
		}
		if each.route != nil {
			if run != nil {
				run.routeGone = 0
			}
			each.homes = table.HomesOf(each.route, owner.submission.Tenant)
			each.due = dueTime(each.route, owner.acceptedAt)
			each.left = p.state.paceOf(each.route.Name).left(sent.Tokens, each.madeText)
		}
		found = append(found, each)
	}
	return found
}

// rememberLate keeps the marks for the choice of runs that are cut off. The mutex is held.
func (p *partition) rememberLate(found []candidate) {
	now := p.now()
	for _, each := range found {
		if run := p.runs[each.key]; run != nil {
			run.late, run.hopeless = each.late, each.hopeless(now)
		}
	}
}

// withLateShare returns the first items, before them the first late one where many in time have begun since one was. The mutex is
// held.
func (p *partition) withLateShare(sorted []candidate) []candidate {
	firstLate := slices.IndexFunc(sorted, func(each candidate) bool { return each.late })
	if firstLate > 0 && p.begunInTime >= lateShare {
		late := sorted[firstLate]
		sorted = slices.Insert(slices.Delete(sorted, firstLate, firstLate+1), 0, late)
	}
	return sorted[:min(len(sorted), maxCandidates)]
}

// madeText returns the size of what an unlisted item has made. The mutex is held.
func (p *partition) madeText(owner *job, key itemKey) int {
	if run := p.runs[key]; run != nil {
		return len(run.text)
	}
	return len(owner.items[key.number].made())
}

// dueTime returns when the results of a job are wanted.
func dueTime(matched *route.Route, acceptedAt int64) time.Time {
	if matched.CompletionTarget <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(acceptedAt).Add(matched.CompletionTarget)
}
