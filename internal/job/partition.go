package job

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
)

// tickInterval is how often a partition checks deadlines, retentions and abandoned uploads.
const tickInterval = time.Second

// partition is a partition owned by this node. It consists of a state confined to the
// loop goroutine and an appender goroutine that writes all its records. It implements
// ledger.StateMachine.
type partition struct {
	id         ledger.PartitionID
	dispatcher *dispatcher
	registry   *registry
	logger     zerolog.Logger

	// state is used by the ledger's goroutine up to Serve, then by the loop goroutine only.
	state *partitionState
	// runs holds the live jobs, which the dispatcher has too. keyWaiters holds channels by
	// idempotencyKey, closed when the key gets its result. Both are used only by the loop
	// goroutine.
	runs       map[string]*jobRun
	keyWaiters map[string][]chan struct{}
	// expiring holds the jobs whose expiry is being appended; used only by the loop goroutine.
	expiring map[string]bool
	ticks    int

	owned     ledger.Owned
	proposals chan *proposal
	applied   chan appliedBatch
	queries   chan func(*partitionState)
	// serving is cancelled when the partition stops; stopped is its Done channel.
	serving       context.Context
	cancelServing context.CancelFunc
	stopped       <-chan struct{}
	stopOnce      sync.Once
	group         sync.WaitGroup
	reader        *recordReader
	lease         dispatchLease
	// attempts tracks the items that are not repeatable from before the append of their
	// attempt record until the engine has accepted or refused the call.
	attempts callTracker
}

func newPartition(id ledger.PartitionID, dispatcher *dispatcher, registry *registry, logger zerolog.Logger) *partition {
	serving, cancel := context.WithCancel(context.Background())
	return &partition{
		serving: serving, cancelServing: cancel, stopped: serving.Done(),
		id: id, dispatcher: dispatcher, registry: registry,
		logger:     logger.With().Uint32(logging.FieldPartition, uint32(id)).Logger(),
		state:      newPartitionState(),
		runs:       make(map[string]*jobRun),
		keyWaiters: make(map[string][]chan struct{}),
		expiring:   make(map[string]bool),
		proposals:  make(chan *proposal, proposalQueue),
		applied:    make(chan appliedBatch),
		queries:    make(chan func(*partitionState)),
	}
}

// Restore implements ledger.StateMachine.
func (p *partition) Restore(snapshot []byte) error {
	state, err := restorePartitionState(snapshot)
	if err != nil {
		return err
	}
	p.state = state
	return nil
}

// Apply implements ledger.StateMachine. It ignores the effects, because Serve starts from
// the resulting state.
func (p *partition) Apply(position ledger.Position, record ledger.Record) error {
	_, err := p.state.step(position, record)
	return err
}

// Serve implements ledger.StateMachine.
func (p *partition) Serve(owned ledger.Owned) {
	p.owned = owned
	p.reader = newRecordReader(owned)
	p.lease.begin(clock.Now())
	p.logger.Info().Int("jobs", len(p.state.jobs)).Msg("partition_served")
	p.group.Add(2)
	go p.runLoop()
	go p.runAppender()
	p.registry.add(p)
}

// Stop implements ledger.StateMachine. The runs of items that are not repeatable continue
// at their engines, for the next owner to attach to.
func (p *partition) Stop() {
	p.halt()
	p.group.Wait()
}

// halt unregisters the partition and signals its goroutines to end, without waiting for
// them.
func (p *partition) halt() {
	p.stopOnce.Do(func() {
		p.registry.remove(p)
		p.cancelServing()
	})
}

// Quiesce implements ledger.Quiescer. It stops sending further items that are not
// repeatable, and waits until those whose attempt is being recorded have been sent, so
// that the next owner finds their runs.
func (p *partition) Quiesce(ctx context.Context) {
	p.attempts.close()
	p.attempts.wait(ctx)
}

// Snapshot implements ledger.StateMachine.
func (p *partition) Snapshot() (upTo, keepFrom ledger.Position, state []byte, err error) {
	encode := func(s *partitionState) {
		upTo, keepFrom = s.upTo, s.keepFrom()
		state, err = s.snapshot()
	}
	if p.owned == nil {
		encode(p.state)
		return upTo, keepFrom, state, err
	}
	if queryErr := p.query(context.Background(), encode); queryErr != nil {
		return 0, 0, nil, queryErr
	}
	return upTo, keepFrom, state, err
}

// query runs read in the loop goroutine and waits until it returns.
func (p *partition) query(ctx context.Context, read func(*partitionState)) error {
	done := make(chan struct{})
	err := p.send(ctx, func(state *partitionState) {
		defer close(done)
		read(state)
	})
	if err != nil {
		return err
	}
	// The loop has received the function and completes it even if the partition stops.
	<-done
	return nil
}

// send passes a function to the loop goroutine, which runs it once. It does not wait for
// the function to return.
func (p *partition) send(ctx context.Context, run func(*partitionState)) error {
	select {
	case p.queries <- run:
		return nil
	case <-p.stopped:
		return errNotOwner()
	case <-ctx.Done():
		return contextError(ctx, outcome.NotRun)
	}
}

// contextError returns the error for a request whose ctx has ended.
func contextError(ctx context.Context, result outcome.Outcome) *outcome.Error {
	reason := outcome.ReasonCallerCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.ReasonDeadline
	}
	return outcome.Wrap(ctx.Err(), result, reason, "the request's time is over")
}

// runLoop is the loop goroutine. It is the only user of the state until the partition stops.
func (p *partition) runLoop() {
	defer p.group.Done()
	defer p.endRuns()
	p.beginRuns()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case batch := <-p.applied:
			p.applyBatch(batch)
		case request := <-p.queries:
			request(p.state)
		case now := <-ticker.C:
			p.tick(now)
		case <-p.owned.Lost():
			p.logger.Info().Msg("partition_lost")
			p.halt()
			return
		case <-p.stopped:
			return
		}
	}
}

// applyBatch applies durable records, carries out their effects and notifies the proposers.
func (p *partition) applyBatch(batch appliedBatch) {
	for offset, proposed := range batch.proposals {
		position := batch.first + ledger.Position(offset)
		effects, err := p.state.step(position, proposed.record)
		if err != nil {
			panic("job: cannot apply a record proposed by this node: " + err.Error())
		}
		for _, change := range effects {
			p.applyEffect(change)
		}
		close(proposed.applied)
	}
}

// applyEffect carries out one effect.
func (p *partition) applyEffect(change effect) {
	switch typed := change.(type) {
	case jobBegan:
		p.beginRun(typed.job)
	case itemEnded:
		if run := p.runs[typed.job.accepted.GetId()]; run != nil {
			run.completed.Add(1)
		}
	case jobEnded:
		p.endRun(typed.job)
	case keyEnded:
		for _, waiter := range p.keyWaiters[typed.name] {
			close(waiter)
		}
		delete(p.keyWaiters, typed.name)
	}
}

func (p *partition) beginRuns() {
	for _, job := range p.state.jobs {
		if job.live() {
			p.beginRun(job)
		}
	}
}

func (p *partition) beginRun(job *jobState) {
	run := newJobRun(p, job)
	p.runs[run.id] = run
	p.dispatcher.add(run)
}

func (p *partition) endRun(job *jobState) {
	id := job.accepted.GetId()
	run := p.runs[id]
	if run == nil {
		return
	}
	delete(p.runs, id)
	cause := errJobEnded
	if job.phase == PhaseCancelled {
		cause = errJobCancelled
	}
	run.endAfterCalls(cause)
	p.logger.Info().Str(logging.FieldJob, id).Str(logging.FieldTenant, job.accepted.GetTenant()).
		Str("phase", string(job.phase)).Int("completed", job.completed).Int("failed", job.failed).Msg("job_ended")
}

func (p *partition) endRuns() {
	for _, run := range p.runs {
		run.end(errPartitionLost)
	}
}
