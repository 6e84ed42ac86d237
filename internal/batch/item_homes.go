package batch

import (
	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// target identifies what items compete for: the replicas of a route in a set of regions that may go on with a text.
type target struct {
	route  *route.Route
	homes  string
	origin replica.Origin
}

func (c candidate) target() target {
	return target{route: c.route, homes: c.homes.String(), origin: c.origin}
}

// checkSubmissionHomes rejects a new submission that is confined to certain regions if this partition is not confined. Such a
// submission comes from an edge with an older configuration.
func (p *partition) checkSubmissionHomes(submission *batchpb.Submission) error {
	table := p.service.routes.Table()
	if table == nil || ledger.IsConfined(p.id) {
		return nil
	}
	for _, item := range submission.Items {
		matched := table.Match(submission.Host, item.Path)
		if matched == nil || !table.AllowedRegionsOf(matched, submission.Tenant).Limited() {
			continue
		}
		p.logger.Info().Str(logging.FieldJob, submission.JobId).Int64("version", table.Version).Msg("job_outside_homes")
		return outcome.New(outcome.NotRun, outcome.ReasonNoHome, "the job is confined to regions by a newer configuration").After(retryAfterOwner)
	}
	return nil
}

// interruptOutsideHomes interrupts the runs that a change of the configuration has put outside the regions in which they may run;
// they resume elsewhere after the text that they have. Items whose route is gone are left to the dispatcher.
func (p *partition) interruptOutsideHomes() {
	table := p.service.routes.Table()
	if table == nil || table.Version == p.homesVersion {
		return
	}
	p.homesVersion = table.Version
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, run := range p.runs {
		job := p.state.jobs[key.job]
		if job == nil || !run.running || run.interrupted || run.finishing || run.handle == nil {
			continue
		}
		matched := table.Match(job.submission.Host, job.submission.Items[key.number].Path)
		if matched == nil {
			continue
		}
		homes := table.AllowedRegionsOf(matched, job.submission.Tenant)
		if p.service.picker.InAllowedRegion(homes, run.handle) {
			continue
		}
		run.interrupt()
		p.logger.Info().Str(logging.FieldJob, key.job).Int("item", key.number).Str(logging.FieldReplica, run.handle.Info().ID).
			Stringer("homes", homes).Int64("version", table.Version).Msg("item_outside_homes")
	}
}
