package batch

import (
	"context"
	"math"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// checkpointInterval is how often the text of a running item is appended to the log, so that a successor resumes there. The
	// record of an item's result contains only what the log lacks, so that no text is logged twice.
	checkpointInterval = 1500 * time.Millisecond
	// checkpointCheckInterval is how often it is checked which items are due.
	checkpointCheckInterval = 50 * time.Millisecond
	// checkpointBytes bounds the records of one append, since a submission waits for the append before it.
	checkpointBytes = 128 << 10
)

func (p *partition) runCheckpoints() {
	pause.Every(p.ctx, checkpointCheckInterval, func(time.Time) {
		for p.checkpointDueItems(p.ctx) {
		}
	})
}

// checkpointDueItems logs the text of the items that are due, as far as it fits into one append. It reports whether more
// items are due.
func (p *partition) checkpointDueItems(ctx context.Context) bool {
	now := p.elapsed()
	isDue := func(run *itemRun) bool { return run.checkpointDue <= now }
	return p.checkpoint(ctx, isDue, checkpointBytes)
}

// checkpointAll logs the text of all items.
func (p *partition) checkpointAll(ctx context.Context) {
	p.checkpoint(ctx, func(*itemRun) bool { return true }, math.MaxInt)
}

// checkpoint logs the text that the selected items have generated since their last checkpoint, about maxBytes at most. It
// reports whether that bound was reached.
func (p *partition) checkpoint(ctx context.Context, selected func(*itemRun) bool, maxBytes int) (more bool) {
	p.textMutex.Lock()
	keys, records := p.unloggedProgress(selected, maxBytes)
	request := newProposal(records...)
	var err error
	if len(records) > 0 {
		err = p.enqueue(ctx, request)
	}
	p.textMutex.Unlock()
	if len(records) == 0 {
		return false
	}
	if err == nil {
		err = p.await(ctx, request)
	}
	if err != nil {
		p.logger.Info().Err(err).Int("items", len(keys)).Msg("progress_not_logged")
		p.forgetUnlogged(keys)
		return false
	}
	return request.bytes >= maxBytes
}

// unloggedProgress returns records of the text of the selected items that the log lacks, until they reach maxBytes, and
// counts it as logged.
func (p *partition) unloggedProgress(selected func(*itemRun) bool, maxBytes int) ([]itemKey, []ledger.Record) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := p.elapsed() + checkpointInterval
	var keys []itemKey
	var records []ledger.Record
	bytes := 0
	for key, run := range p.runs {
		if run.finishing || len(run.text) == run.logged || !selected(run) {
			continue
		}
		record := run.progressRecord(key)
		keys = append(keys, key)
		records = append(records, record)
		run.logged, run.checkpointDue = len(run.text), next
		if bytes += len(record.Payload); bytes >= maxBytes {
			break
		}
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
