package job

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
)

// Cancel causes of the context of a job's run on this node.
var (
	errJobEnded      = errors.New("the job has ended")
	errJobCancelled  = errors.New("the job was cancelled")
	errPartitionLost = errors.New("the partition was lost")
)

// implicitDeadline is the time after acceptance that orders a job without a deadline.
const implicitDeadline = 365 * 24 * time.Hour

// jobRun is a live job at its owner, with all that running its items needs. Its fields do
// not change after creation, except calls and completed, which are safe for concurrent use,
// and rate and atRisk. What dispatch points to is updated by the dispatcher's loop.
type jobRun struct {
	id            string
	partition     *partition
	tenant        string
	service       string
	rank          int
	operation     engine.Operation
	notRepeatable bool
	layout        chunkLayout
	dispatch      *dispatchJob

	ctx    context.Context
	cancel context.CancelCauseFunc
	calls  callTracker
	// completed counts the results recorded since the run began.
	completed atomic.Int64
	// rate and atRisk are used only by the partition's loop goroutine.
	rate   rateMeter
	atRisk bool
}

// newJobRun copies what it needs from the state, which keeps changing.
func newJobRun(owner *partition, job *jobState) *jobRun {
	accepted := job.accepted
	ctx, cancel := context.WithCancelCause(context.Background())
	run := &jobRun{
		id: accepted.GetId(), partition: owner, tenant: accepted.GetTenant(), service: accepted.GetService(),
		rank: int(accepted.GetRank()), operation: engine.Operation(accepted.GetOperation()),
		notRepeatable: accepted.GetNotRepeatable(),
		layout:        newChunkLayout(accepted.GetChunkPositions(), accepted.GetChunkItems()),
		ctx:           ctx, cancel: cancel,
	}
	run.dispatch = &dispatchJob{
		id: run.id, service: run.service, rank: run.rank, deadline: deadlineOf(accepted),
		total: len(job.entries), skip: newBitmap(len(job.entries)), run: run,
	}
	for index, entry := range job.entries {
		if entry.class() != classOpen {
			run.dispatch.skip.set(index)
		}
	}
	for index, attempt := range job.attempts {
		run.dispatch.skip.set(int(index))
		run.dispatch.requeued = append(run.dispatch.requeued,
			requeuedItem{int(index), &itemProgress{recordedAttempt: attempt}})
	}
	return run
}

// deadlineOf returns the deadline by which the job is ordered. A job without one goes
// behind those with a deadline within implicitDeadline.
func deadlineOf(accepted *jobpb.JobAccepted) time.Time {
	if accepted.GetDeadlineMicros() == 0 {
		return fromMicros(accepted.GetAcceptedAtMicros()).Add(implicitDeadline)
	}
	return fromMicros(accepted.GetDeadlineMicros())
}

// end stops the run at once and cancels its context: no engine call begins after it returns.
func (r *jobRun) end(cause error) {
	r.calls.close()
	r.cancel(cause)
	r.partition.dispatcher.remove(r)
}

// endAfterCalls stops the run, but cancels its context only once the pending calls have
// reached the engines, or after drainTimeout: an engine might still read the request of an
// interrupted call after the end of the job was acknowledged. No engine call begins after
// it returns.
func (r *jobRun) endAfterCalls(cause error) {
	r.calls.close()
	r.partition.dispatcher.remove(r)
	r.partition.group.Go(func() {
		ctx, cancel := context.WithTimeout(r.partition.serving, drainTimeout)
		defer cancel()
		r.calls.wait(ctx)
		r.cancel(cause)
	})
}

// chunkLayout maps an item index to the chunk that holds its input line.
type chunkLayout struct {
	positions []ledger.Position
	// ends holds, for each chunk, the index of the first item after it.
	ends []uint32
}

func newChunkLayout(positions []uint64, items []uint32) chunkLayout {
	layout := chunkLayout{positions: make([]ledger.Position, len(positions)), ends: make([]uint32, len(items))}
	end := uint32(0)
	for index, position := range positions {
		layout.positions[index] = ledger.Position(position)
		end += items[index]
		layout.ends[index] = end
	}
	return layout
}

// locate returns the position of the item's chunk and the number of the item's line in it.
func (l chunkLayout) locate(index int) (ledger.Position, int, error) {
	chunk := sort.Search(len(l.ends), func(i int) bool { return l.ends[i] > uint32(index) })
	if chunk == len(l.ends) {
		return 0, 0, fmt.Errorf("item %d is behind the last chunk", index)
	}
	first := 0
	if chunk > 0 {
		first = int(l.ends[chunk-1])
	}
	return l.positions[chunk], index - first, nil
}

// callTracker counts the calls that have not reached their engine yet, so that a cancel
// is acknowledged only when no further call can start. It is safe for concurrent use.
type callTracker struct {
	mutex   sync.Mutex
	closed  bool
	calls   int
	waiters []chan struct{}
}

// begin registers a call. It returns false if the tracker is closed; then the call must
// not be made.
func (t *callTracker) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.calls++
	return true
}

// finish reports that the call has reached the engine or has failed.
func (t *callTracker) finish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls--
	if t.calls == 0 {
		for _, waiter := range t.waiters {
			close(waiter)
		}
		t.waiters = nil
	}
}

// close makes all later calls of begin return false.
func (t *callTracker) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

// wait blocks until all registered calls are finished or ctx ends.
func (t *callTracker) wait(ctx context.Context) {
	t.mutex.Lock()
	if t.calls == 0 {
		t.mutex.Unlock()
		return
	}
	drained := make(chan struct{})
	t.waiters = append(slices.Clip(t.waiters), drained)
	t.mutex.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// voidAttemptRecord returns the record that voids the last attempt of an item, which is
// known not to have run.
func (r *jobRun) voidAttemptRecord(index int) ledger.Record {
	return encodeRecord(ledger.KindItemAttempt, &jobpb.ItemAttempt{JobId: r.id, Index: uint32(index)})
}

// attemptRecord returns the record that is written before the engine call of an item that
// is not repeatable.
func (r *jobRun) attemptRecord(index int, requestID string, endpoint engine.Endpoint) ledger.Record {
	return encodeRecord(ledger.KindItemAttempt, &jobpb.ItemAttempt{
		JobId: r.id, Index: uint32(index), RequestId: requestID,
		Replica: endpoint.Replica, Address: endpoint.Address.String(),
	})
}
