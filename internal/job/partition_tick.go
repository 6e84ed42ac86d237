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
	// sweepTicks is the number of ticks between looks at all jobs, keys and files.
	sweepTicks = 10
	// uploadTimeout is how long an upload may rest before its chunks are dropped.
	uploadTimeout = 15 * time.Minute
	// keyRetention is how long an idempotency key is remembered after its last record.
	keyRetention = 7 * 24 * time.Hour
	// tombstoneRetention is how long an expired job still answers a resend.
	tombstoneRetention = 30 * 24 * time.Hour
	// expireTimeout bounds the append that expires a job.
	expireTimeout = 30 * time.Second
)

// tick looks at what time alone changes. It runs in the loop.
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
	p.state.forget(now)
}

// checkDeadline measures the job's rate, and reports when its risk changes.
func (p *partition) checkDeadline(run *jobRun, now time.Time) {
	job := p.state.jobs[run.id]
	run.rate.sample(now, run.completed.Load())
	deadline := run.dispatched.deadline
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

// expire appends the end of a job's retention, beside the loop. A failed append is
// tried again at a later tick.
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

// dueForExpiry returns the ended jobs whose retention is over.
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

// forget drops what nobody can need any more. It isn't recorded: the next owner
// drops the same by the times in the records.
func (s *partitionState) forget(now time.Time) {
	for id, upload := range s.uploads {
		if now.Sub(upload.lastAt) > uploadTimeout {
			delete(s.uploads, id)
		}
	}
	for name, key := range s.keys {
		last := fromMicros(key.claimed.GetRecordedAtMicros())
		if key.completedAt.After(last) {
			last = key.completedAt
		}
		if now.Sub(last) > keyRetention {
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
