package batch

import (
	"net/http"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
)

// handleFailure handles an item that a replica ran and answered with a failure: the item is given up once it has failed as often as
// its route allows, otherwise it is sent again after a pause.
func (p *partition) handleFailure(attempt *itemAttempt) {
	if attempt.status != http.StatusInternalServerError {
		// Failures of other kinds are not counted against the item.
		p.requeue(attempt.key, pauseAfterFailure)
		return
	}
	failures := p.countFailure(attempt.key)
	if failures >= max(1, attempt.route.Attempts) {
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", "failed")
		return
	}
	// The next owner knows only a durable count. The item counts as running until the count is durable, so that it is not sent again
	// before.
	failed := &batchpb.Failed{JobId: attempt.key.job, Item: uint32(attempt.key.number), Failures: uint32(failures)}
	recorded := func(item *itemState) bool { return item.failures >= failures }
	propose := func() error { return p.propose(p.ctx, newRecord(ledger.KindBatchFailed, failed)) }
	if p.proposeUntilDurable(attempt.key, "failure_not_recorded", recorded, propose) {
		p.requeue(attempt.key, pauseAfterFailure)
	}
}

// countFailure counts another failure of an item and returns the total over all owners.
func (p *partition) countFailure(key itemKey) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.ensureRun(key)
	run.failures++
	return run.failures
}
