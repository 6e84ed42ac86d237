package batch

import (
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/route"
)

// backlog is the work that the replicas of some services have before a new job, and what that job adds.
type backlog struct {
	// waiting and added are the times at replicas that accepted items and the new job's still need, by estimate.
	waiting, added time.Duration
	// slots are all that these replicas have, those that callers' requests use among them.
	slots int
	// retention is the time after which an item of the new job may be given up; 0 is never.
	retention time.Duration
}

// excess returns how much later than its retention the new job would be done at the earliest, if all slots were free for items from now on and
// what was accepted before it came first; 0 or less where it could be done. Who sends such a job is better served by a refusal at once than by
// an acceptance of which nothing comes.
func (b backlog) excess() time.Duration {
	if b.retention <= 0 || b.slots <= 0 {
		return 0
	}
	return (b.waiting+b.added)/time.Duration(b.slots) - b.retention
}

// refuseHopeless returns why a job is refused of which it is known that it cannot be done before it may be given up; nil where it could be.
// The mutex is held.
func (p *partition) refuseHopeless(submission *batchpb.Submission) error {
	table := p.service.routes.Table()
	if table == nil || len(submission.Items) == 0 {
		return nil
	}
	matched := table.Match(submission.Host, submission.Items[0].Path)
	if matched == nil {
		return nil
	}
	excess := p.backlogBefore(submission, matched).excess()
	if excess <= 0 {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "more work waits than can be done in time").After(excess)
}

// backlogBefore returns the backlog before a new job of a route. The mutex is held.
func (p *partition) backlogBefore(submission *batchpb.Submission, matched *route.Route) backlog {
	found := backlog{retention: matched.Retention}
	pace := p.state.paceOf(matched.Name)
	if pace.seen == 0 {
		return found
	}
	for _, item := range submission.Items {
		found.added += pace.left(item.Tokens, 0)
	}
	for _, each := range p.state.order {
		if each.open() {
			found.waiting += p.workLeft(each)
		}
	}
	view := p.service.directory.View()
	for _, backend := range matched.Backends {
		found.slots += view.Slots(backend.Service)
	}
	return found
}

// workLeft returns the time at replicas that the unlisted items of a job still need. The mutex is held.
func (p *partition) workLeft(of *job) time.Duration {
	pace := p.state.paceOf(of.submission.Route)
	left := time.Duration(0)
	for number, item := range of.submission.Items {
		if !of.items[number].listed {
			left += pace.left(item.Tokens, p.madeText(of, itemKey{job: of.submission.JobId, number: number}))
		}
	}
	return left
}
