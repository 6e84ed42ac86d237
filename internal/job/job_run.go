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

// Causes of the end of a job's run on this node.
var (
	errJobEnded      = errors.New("the job has ended")
	errJobCancelled  = errors.New("the job was cancelled")
	errPartitionLost = errors.New("the partition was lost")
)

// noDeadline stands for the deadline of a job that names none.
const noDeadline = 365 * 24 * time.Hour

// jobRun is a live job at its owner: what the dispatch of its items needs. Its
// fields don't change after it was made, except those with a lock of their own.
type jobRun struct {
	id            string
	partition     *partition
	tenant        string
	service       string
	rank          int
	operation     engine.Operation
	notRepeatable bool
	layout        chunkLayout
	dispatched    *dispatchJob

	ctx    context.Context
	cancel context.CancelCauseFunc
	calls  callTracker
	// completed counts the results since the run began.
	completed atomic.Int64
	// rate and atRisk belong to the partition's loop.
	rate   rateMeter
	atRisk bool
}

// newJobRun copies what it needs of the state, which goes on changing.
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
	run.dispatched = &dispatchJob{
		id: run.id, service: run.service, rank: run.rank, deadline: deadlineOf(accepted),
		total: len(job.entries), done: newBitmap(len(job.entries)), run: run,
	}
	for index, entry := range job.entries {
		if entry.class() != classOpen {
			run.dispatched.done.set(index)
		}
	}
	for index, attempt := range job.attempts {
		run.dispatched.done.set(int(index))
		run.dispatched.requeued = append(run.dispatched.requeued, requeuedItem{int(index), &itemProgress{attach: attempt}})
	}
	return run
}

// deadlineOf returns the deadline that orders the job; one without goes last.
func deadlineOf(accepted *jobpb.JobAccepted) time.Time {
	if accepted.GetDeadlineMicros() == 0 {
		return fromMicros(accepted.GetAcceptedAtMicros()).Add(noDeadline)
	}
	return fromMicros(accepted.GetDeadlineMicros())
}

// end stops the run: nothing is started after it returns.
func (r *jobRun) end(cause error) {
	r.calls.close()
	r.cancel(cause)
	r.partition.dispatcher.remove(r)
}

// endAfterCalls ends the run once its calls have reached the engines, so that none is cut off whose request an engine
// may still read after the end was acknowledged; at the latest after drainTimeout. Nothing is started after it returns.
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

// chunkLayout finds the chunk of an item.
type chunkLayout struct {
	positions []ledger.Position
	// ends holds, for each chunk, the index behind its last item.
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

// locate returns the position of the item's chunk and its place within.
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

// callTracker counts the calls that are about to reach an engine, so that a cancel
// is answered only when none can start any more. It is safe for concurrent use.
type callTracker struct {
	mutex   sync.Mutex
	closed  bool
	calls   int
	drained []chan struct{}
}

// begin announces a call; false means that none may be made.
func (t *callTracker) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.calls++
	return true
}

// finish says that the call has reached the engine or has failed.
func (t *callTracker) finish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls--
	if t.calls == 0 {
		for _, waiter := range t.drained {
			close(waiter)
		}
		t.drained = nil
	}
}

func (t *callTracker) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

// wait waits until all calls that have begun are finished, or ctx ends.
func (t *callTracker) wait(ctx context.Context) {
	t.mutex.Lock()
	if t.calls == 0 {
		t.mutex.Unlock()
		return
	}
	drained := make(chan struct{})
	t.drained = append(slices.Clip(t.drained), drained)
	t.mutex.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// voidRecord is the record that the last attempt of an item is known not to have run.
func (r *jobRun) voidRecord(index int) ledger.Record {
	return encodeRecord(ledger.KindItemAttempt, &jobpb.ItemAttempt{JobId: r.id, Index: uint32(index)})
}

// attemptRecord is the record of a call to come for an item that is not repeatable.
func (r *jobRun) attemptRecord(index int, requestID string, to engine.Endpoint) ledger.Record {
	return encodeRecord(ledger.KindItemAttempt, &jobpb.ItemAttempt{
		JobId: r.id, Index: uint32(index), RequestId: requestID, Replica: to.Replica, Address: to.Address.String(),
	})
}
