package batch

import (
	"net/http"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
)

// tookFailure takes in that a replica ran an item and answered with a failure: the item is given up once it has failed as often as its route
// allows, or waits to be sent again.
func (p *partition) tookFailure(attempt *itemAttempt) {
	if attempt.status != http.StatusInternalServerError {
		// Other failures are no verdict on the item.
		p.requeue(attempt.key, pauseAfterFailure)
		return
	}
	failures := p.countFailure(attempt.key)
	if failures >= max(1, attempt.route.Attempts) {
		p.finish(attempt.key, batchpb.State_STATE_DEAD_LETTER, "", "failed")
		return
	}
	// Only a count that is durable is known to the next owner. The item counts as running until then, so that it is not sent again.
	failed := &batchpb.Failed{JobId: attempt.key.job, Item: uint32(attempt.key.number), Failures: uint32(failures)}
	recorded := func(of *item) bool { return of.failures >= failures }
	propose := func() error { return p.propose(p.ctx, recordOf(ledger.KindBatchFailed, failed)) }
	if p.untilDurable(attempt.key, "failure_not_recorded", recorded, propose) {
		p.requeue(attempt.key, pauseAfterFailure)
	}
}

// countFailure counts one more failure of an item and returns how many there are over all owners.
func (p *partition) countFailure(key itemKey) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.runOf(key)
	run.failures++
	return run.failures
}
