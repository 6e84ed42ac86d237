package batch

import (
	"context"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/pause"
)

// checkpointInterval is how often the text of running items is appended to the log, so that a successor resumes there. The record of
// an item's result contains only what the log lacks, so that no text is logged twice.
const checkpointInterval = 1500 * time.Millisecond

func (p *partition) runCheckpoints() {
	pause.Every(p.ctx, checkpointInterval, func(time.Time) { p.checkpoint(p.ctx) })
}

// checkpoint logs the text that the items have generated since the last checkpoint.
func (p *partition) checkpoint(ctx context.Context) {
	p.textMutex.Lock()
	keys, records := p.unloggedProgress()
	request := newProposal(records...)
	var err error
	if len(records) > 0 {
		err = p.enqueue(ctx, request)
	}
	p.textMutex.Unlock()
	if len(records) == 0 {
		return
	}
	if err == nil {
		err = p.await(ctx, request)
	}
	if err != nil {
		p.logger.Info().Err(err).Int("items", len(keys)).Msg("progress_not_logged")
		p.forgetUnlogged(keys)
	}
}

// unloggedProgress returns records of the text that the log lacks, and counts it as logged.
func (p *partition) unloggedProgress() ([]itemKey, []ledger.Record) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var keys []itemKey
	var records []ledger.Record
	for key, run := range p.runs {
		if run.finishing || len(run.text) == run.logged {
			continue
		}
		keys = append(keys, key)
		records = append(records, run.progressRecord(key))
		run.logged = len(run.text)
	}
	return keys, records
}

// progressRecord returns the record of the text that the log lacks, or of the whole text if the item was begun anew.
func (r *itemRun) progressRecord(key itemKey) ledger.Record {
	progress := &batchpb.Progress{
		JobId: key.job, Item: uint32(key.number), LastEvent: r.lastEvent, Rewritten: r.rewritten,
		Service: r.origin.Service, Version: r.origin.Version, Incarnation: uint64(r.origin.Incarnation),
	}
	if r.rewritten {
		// After a failed append, logged is the length of the text before, which may be longer.
		progress.Text = string(r.text)
		return newRecord(ledger.KindBatchRewritten, progress)
	}
	progress.Offset, progress.Text = uint64(r.logged), string(r.text[r.logged:])
	return newRecord(ledger.KindBatchProgress, progress)
}

// forgetUnlogged resets the logged length of items to what the log has.
func (p *partition) forgetUnlogged(keys []itemKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, key := range keys {
		owner, run := p.state.jobs[key.job], p.runs[key]
		if owner != nil && run != nil {
			run.logged = len(owner.items[key.number].loggedText())
		}
	}
}
