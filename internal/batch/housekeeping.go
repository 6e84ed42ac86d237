package batch

import (
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// housekeepingInterval is how often the partition is searched for jobs to forget.
	housekeepingInterval = 5 * time.Second
	// retentionMargin is added to the time for which results must stay readable, since the wall clock may jump.
	retentionMargin = time.Minute
)

// runHousekeeping forgets jobs whose results need not stay readable any longer, and drops the run state of items that no longer need
// it.
func (p *partition) runHousekeeping() {
	pause.Every(p.ctx, housekeepingInterval, func(time.Time) {
		p.forgetOldJobs()
		p.dropStaleRuns()
	})
}

func (p *partition) forgetOldJobs() {
	for _, jobID := range p.expiredJobs() {
		if err := p.propose(p.ctx, newRecord(ledger.KindBatchForgotten, &batchpb.Forgotten{JobId: jobID})); err != nil {
			return
		}
		p.logger.Info().Str(logging.FieldJob, jobID).Msg("job_forgotten")
	}
}

// expiredJobs returns the finished jobs that are older than the time for which results are kept.
func (p *partition) expiredJobs() []string {
	oldest := p.now().Add(-p.service.options.KeepResults - retentionMargin).UnixMilli()
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	var found []string
	for _, job := range p.state.order {
		if job.acceptedAt < oldest && !job.open() {
			found = append(found, job.submission.JobId)
		}
	}
	return found
}

// dropStaleRuns drops the run state of items that do not run any more and are listed, or whose job has ended or is forgotten.
func (p *partition) dropStaleRuns() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key, run := range p.runs {
		job := p.state.jobs[key.job]
		if !run.running && (job == nil || !job.open() || job.items[key.number].listed) {
			delete(p.runs, key)
		}
	}
}
