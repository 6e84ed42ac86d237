package batch

import (
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/route"
)

// backlog is the work queued at the replicas of some services before a new job, and the work that the job adds.
type backlog struct {
	// waiting and added are the estimated times at replicas that accepted items and the new job's items still need.
	waiting, added time.Duration
	// slots counts all slots of these replicas, including those in use by callers' requests.
	slots int
	// retention is the time after which an item of the new job may be given up; 0 means never.
	retention time.Duration
}

// excess returns by how much the new job would exceed its retention at best, if all slots were free for items from now on and all
// earlier work was done first; 0 or less if it could be done in time. It is better for the caller to be refused at once than to have
// a job accepted of which nothing will be done.
func (b backlog) excess() time.Duration {
	if b.retention <= 0 || b.slots <= 0 {
		return 0
	}
	return (b.waiting+b.added)/time.Duration(b.slots) - b.retention
}

// checkBacklog returns an error if the job certainly cannot be done before it may be given up. The mutex is held.
func (p *partition) checkBacklog(submission *batchpb.Submission) error {
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
		found.added += pace.remaining(item.Tokens, 0)
	}
	for _, job := range p.state.order {
		if job.open() {
			found.waiting += p.remainingWork(job)
		}
	}
	view := p.service.directory.View()
	for _, backend := range matched.Backends {
		found.slots += view.Slots(backend.Service)
	}
	return found
}

// remainingWork returns the estimated time at replicas that the unlisted items of a job still need. The mutex is held.
func (p *partition) remainingWork(job *jobState) time.Duration {
	pace := p.state.paceOf(job.submission.Route)
	left := time.Duration(0)
	for number, item := range job.submission.Items {
		if !job.items[number].listed {
			_, textSize := p.textOf(job, itemKey{job: job.submission.JobId, number: number})
			left += pace.remaining(item.Tokens, textSize)
		}
	}
	return left
}
