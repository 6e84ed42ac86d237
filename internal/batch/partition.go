package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/subscription"
)

// confirmWindow is how long after the start of a successful append an owner may send items to replicas. An owner that was replaced
// without noticing it stops within this time.
const confirmWindow = time.Second

// partition is one owned partition. Only its appender goroutine changes the state. It implements ledger.StateMachine.
type partition struct {
	id      ledger.PartitionID
	service *Service
	logger  zerolog.Logger
	now     func() time.Time

	owned      ledger.Owned
	proposals  chan *proposal
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	startedAt  time.Time
	// confirmedAt is when the last successful append started, in nanoseconds since startedAt.
	confirmedAt atomic.Int64
	woken       chan struct{}
	// preemptions counts the runs that were cut off to make room.
	preemptions atomic.Int64
	// plans counts how often the order of the items was planned.
	plans atomic.Int64

	// textMutex is held while records with parts of items' texts are built and enqueued, so that the parts reach the log in order.
	// It is acquired before mutex, and never by the appender.
	textMutex sync.Mutex

	// mutex guards the state and the fields below.
	mutex sync.RWMutex
	state *state
	// runs contains the state of items that is not in the log.
	runs map[itemKey]*itemRun
	// submitting contains the submissions that are being appended, reserved their tokens.
	submitting map[string]*pendingSubmission
	reserved   map[quotaKey]int64
	quiesced   bool
	// stopped is true once no more background work may start.
	stopped bool
	// homesVersion is the version of the configuration whose homes were last applied to the running items. Only the dispatcher uses
	// it.
	homesVersion int64
	// decidingRuns limits the concurrent deciding runs.
	decidingRuns decidingRunLimit
	// inTimeSinceLate counts the items in time that were started since the last late one.
	inTimeSinceLate int
}

func newPartition(id ledger.PartitionID, service *Service) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	return &partition{
		id: id, service: service, now: time.Now, startedAt: clock.Now(), ctx: ctx, cancel: cancel,
		logger:    service.logger.With().Uint32(logging.FieldPartition, uint32(id)).Logger(),
		proposals: make(chan *proposal, proposalQueueSize), woken: make(chan struct{}, 1),
		state: newState(), runs: map[itemKey]*itemRun{}, submitting: map[string]*pendingSubmission{}, reserved: map[quotaKey]int64{},
	}
}

// Restore implements ledger.StateMachine.
func (p *partition) Restore(snapshot []byte) error {
	restored, err := restoreState(snapshot)
	if err != nil {
		return err
	}
	p.state = restored
	return nil
}

// Apply implements ledger.StateMachine.
func (p *partition) Apply(position ledger.Position, record ledger.Record) error {
	return p.state.apply(position, record)
}

// Serve implements ledger.StateMachine.
func (p *partition) Serve(owned ledger.Owned) {
	p.owned = owned
	p.recallCrashes()
	p.logger.Info().Int("jobs", len(p.state.jobs)).Msg("partition_served")
	p.background.Go(p.runAppender)
	p.background.Go(p.runDispatcher)
	p.background.Go(p.runCheckpoints)
	p.background.Go(p.runHousekeeping)
	p.service.add(p)
}

// Snapshot implements ledger.StateMachine.
func (p *partition) Snapshot() (upTo, keepFrom ledger.Position, encoded []byte, err error) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	encoded, err = p.state.snapshot()
	return p.state.appliedTo, p.state.appliedTo + 1, encoded, err
}

// Stop implements ledger.StateMachine.
func (p *partition) Stop() {
	p.service.remove(p)
	p.mutex.Lock()
	p.stopped = true
	p.mutex.Unlock()
	p.cancel()
	p.background.Wait()
}

// Quiesce implements ledger.Quiescer: it sends no more items to replicas, and records the text of the running items, so that the
// next owner resumes there.
func (p *partition) Quiesce(ctx context.Context) {
	p.mutex.Lock()
	p.quiesced = true
	for _, run := range p.runs {
		if run.running && run.stop != nil {
			run.interrupt()
		}
	}
	p.mutex.Unlock()
	p.checkpointAll(ctx)
}

// wake makes the dispatcher check for work without waiting for its interval.
func (p *partition) wake() {
	subscription.Signal(p.woken)
}

// hasWork reports whether items wait or run.
func (p *partition) hasWork() bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, job := range p.state.order {
		if job.open() {
			return true
		}
	}
	return false
}

// elapsed returns the time since this node took over the partition. It is not affected by changes of the wall clock.
func (p *partition) elapsed() time.Duration { return clock.Since(p.startedAt) }

// confirmedSince reports whether the ownership was proved by an append that started at or after since.
func (p *partition) confirmedSince(since time.Duration) bool {
	return p.confirmedAt.Load() >= int64(since)
}

// confirm returns once the ownership was proved at or after since. Concurrent callers share appends.
func (p *partition) confirm(ctx context.Context, since time.Duration) error {
	for !p.confirmedSince(since) {
		if err := p.propose(ctx, ledger.Record{Kind: ledger.KindNoOperation}); err != nil {
			return err
		}
	}
	return nil
}

func errNotOwner() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "partition is owned elsewhere")
}
