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

// tickInterval is how often a partition looks at deadlines, retentions and stale uploads.
const tickInterval = time.Second

// partition is one owned partition: its state, which belongs to the loop goroutine,
// and the appender, through which all its records go. It is the ledger.StateMachine.
type partition struct {
	id         ledger.PartitionID
	dispatcher *dispatcher
	registry   *registry
	logger     zerolog.Logger

	// state is used by the ledger's goroutine up to Serve, then by the loop alone.
	state *partitionState
	// runs holds the live jobs that the dispatcher has; keyWaiters what Await waits for.
	// Both belong to the loop.
	runs       map[string]*jobRun
	keyWaiters map[string][]chan struct{}
	// expiring holds the jobs whose expiry is being appended; it belongs to the loop.
	expiring map[string]bool
	ticks    int

	owned     ledger.Owned
	proposals chan *proposal
	applied   chan appliedBatch
	queries   chan func(*partitionState)
	// serving ends, and stopped is closed, when the partition stops.
	serving       context.Context
	cancelServing context.CancelFunc
	stopped       <-chan struct{}
	stopOnce      sync.Once
	group         sync.WaitGroup
	reader        *recordReader
	ownership     ownershipClock
	// attempts counts the marked items between their attempt's record and the engine's answer.
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

// Apply implements ledger.StateMachine. Effects are not acted on: Serve takes up the
// state as it is then.
func (p *partition) Apply(position ledger.Position, record ledger.Record) error {
	_, err := p.state.step(position, record)
	return err
}

// Serve implements ledger.StateMachine.
func (p *partition) Serve(owned ledger.Owned) {
	p.owned = owned
	p.reader = newRecordReader(owned)
	p.ownership.begin(clock.Now())
	p.logger.Info().Int("jobs", len(p.state.jobs)).Msg("partition_served")
	p.group.Add(2)
	go p.runLoop()
	go p.runAppender()
	p.registry.add(p)
}

// Stop implements ledger.StateMachine. Streams of items that are not repeatable are
// left running, for the next owner to attach to.
func (p *partition) Stop() {
	p.halt()
	p.group.Wait()
}

// halt makes all goroutines of the partition end; it doesn't wait for them.
func (p *partition) halt() {
	p.stopOnce.Do(func() {
		p.registry.remove(p)
		p.cancelServing()
	})
}

// Quiesce implements ledger.Quiescer: no more marked items are sent to engines, and those whose attempt is being
// recorded are sent, so that the next owner finds their runs.
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

// query runs read in the loop goroutine and waits for its end.
func (p *partition) query(ctx context.Context, read func(*partitionState)) error {
	done := make(chan struct{})
	err := p.send(ctx, func(state *partitionState) {
		defer close(done)
		read(state)
	})
	if err != nil {
		return err
	}
	// The loop took it, so it runs to its end even if the partition stops.
	<-done
	return nil
}

// send has the loop goroutine run a function once.
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

// contextError turns the end of ctx into an outcome.
func contextError(ctx context.Context, result outcome.Outcome) *outcome.Error {
	reason := outcome.ReasonCallerCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.ReasonDeadline
	}
	return outcome.Wrap(ctx.Err(), result, reason, "the request's time is over")
}

// runLoop owns the state until the partition stops.
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

// applyBatch applies records that are durable now, then tells their proposers.
func (p *partition) applyBatch(batch appliedBatch) {
	for offset, proposed := range batch.proposals {
		position := batch.first + ledger.Position(offset)
		effects, err := p.state.step(position, proposed.record)
		if err != nil {
			panic("job: own record doesn't decode: " + err.Error())
		}
		for _, change := range effects {
			p.act(change)
		}
		close(proposed.applied)
	}
}

// act carries out one effect.
func (p *partition) act(change effect) {
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
