package job

import (
	"context"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// sweepTicks is the number of ticks between checks of all jobs, keys, files and uploads
	// for expiry.
	sweepTicks = 10
	// uploadTimeout is how long after its last chunk an uncommitted upload is dropped.
	uploadTimeout = 15 * time.Minute
	// keyRetention is how long an idempotency key is kept after its last record.
	keyRetention = 7 * 24 * time.Hour
	// tombstoneRetention is how long an expired job is still recognized when it is resubmitted.
	tombstoneRetention = 30 * 24 * time.Hour
	// expireTimeout bounds the append that expires a job.
	expireTimeout = 30 * time.Second
)

// tick performs the periodic checks of deadlines and retentions. It runs in the loop
// goroutine.
func (p *partition) tick(now time.Time) {
	for _, run := range p.runs {
		p.checkDeadline(run, now)
	}
	p.ticks++
	if p.ticks%sweepTicks != 0 {
		return
	}
	for _, id := range p.state.dueForExpiry(now) {
		p.expire(id, now)
	}
	p.state.dropExpired(now)
}

// checkDeadline samples the job's rate and logs a change of its risk of missing the
// deadline.
func (p *partition) checkDeadline(run *jobRun, now time.Time) {
	job := p.state.jobs[run.id]
	run.rate.sample(now, run.completed.Load())
	deadline := run.dispatch.deadline
	atRisk := run.rate.atRisk(now, deadline, job.remaining())
	if atRisk == run.atRisk {
		return
	}
	run.atRisk = atRisk
	event := p.logger.Info()
	message := "job_back_on_time"
	if atRisk {
		p.dispatcher.metrics.jobsAtRisk.Inc()
		event, message = p.logger.Warn(), "job_at_risk"
	}
	event.Str(logging.FieldJob, run.id).Str(logging.FieldTenant, run.tenant).
		Str("client_key", job.accepted.GetClientKey()).Time("deadline", deadline).
		Int("remaining", job.remaining()).Float64("items_per_second", run.rate.perSecond).Msg(message)
}

// expire appends the expiry of a job in a goroutine of its own. A failed append is retried
// by a later sweep.
func (p *partition) expire(id string, now time.Time) {
	if p.expiring[id] {
		return
	}
	p.expiring[id] = true
	record := encodeRecord(ledger.KindJobExpired, &jobpb.JobExpired{JobId: id, RecordedAtMicros: micros(now)})
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		ctx, cancel := context.WithTimeout(context.Background(), expireTimeout)
		defer cancel()
		err := p.propose(ctx, record)
		if err != nil && outcome.As(err).Reason != outcome.ReasonNotOwner {
			p.logger.Warn().Err(err).Str(logging.FieldJob, id).Msg("expiry_not_recorded")
		}
		_ = p.send(ctx, func(*partitionState) { delete(p.expiring, id) })
	}()
}

// dueForExpiry returns the ids of ended jobs whose retention has passed.
func (s *partitionState) dueForExpiry(now time.Time) []string {
	var due []string
	for id, job := range s.jobs {
		if job.live() {
			continue
		}
		retention := time.Duration(job.accepted.GetRetentionMicros()) * time.Microsecond
		if now.After(job.endedAt.Add(retention)) {
			due = append(due, id)
		}
	}
	return due
}

// dropExpired drops abandoned uploads and the keys, files and tombstones past their
// retention. It appends no record: the next owner drops the same entries by the times in
// their records.
func (s *partitionState) dropExpired(now time.Time) {
	for id, upload := range s.uploads {
		if now.Sub(upload.lastChunkAt) > uploadTimeout {
			delete(s.uploads, id)
		}
	}
	for name, key := range s.keys {
		lastRecordAt := fromMicros(key.claimed.GetRecordedAtMicros())
		if key.completedAt.After(lastRecordAt) {
			lastRecordAt = key.completedAt
		}
		if now.Sub(lastRecordAt) > keyRetention {
			delete(s.keys, name)
		}
	}
	for id, file := range s.files {
		if now.After(fromMicros(file.GetExpiresAtMicros())) {
			delete(s.files, id)
		}
	}
	for id, tombstone := range s.tombstones {
		if now.Sub(fromMicros(tombstone.GetExpiredAtMicros())) > tombstoneRetention {
			delete(s.tombstones, id)
		}
	}
}
