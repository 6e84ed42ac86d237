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

// confirmWindow is how long after the start of a successful append an owner may send items to replicas: an owner that
// was replaced unaware stops within it.
const confirmWindow = time.Second

// partition is one owned partition. Its appender goroutine alone changes the state. It is the ledger.StateMachine.
type partition struct {
	id      ledger.PartitionID
	service *Service
	logger  zerolog.Logger
	now     func() time.Time

	owned     ledger.Owned
	proposals chan *proposal
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	born      time.Time
	// confirmed is when the last successful append began, as a time since born.
	confirmed atomic.Int64
	woken     chan struct{}
	// yields counts the runs that were cut off for online requests.
	yields atomic.Int64

	// textOrder is held while records with parts of items' texts are made and enqueued, so that the parts come to the log in
	// order. It is taken before mutex, and never by the appender.
	textOrder sync.Mutex

	// mutex guards the state and the fields below.
	mutex sync.RWMutex
	state *state
	// runs holds what is known of items beyond the log.
	runs map[itemKey]*itemRun
	// submitting holds the submissions whose append is under way, reserved their tokens.
	submitting map[string]*pendingSubmission
	reserved   map[quotaKey]int64
	quiesced   bool
	// stopped says that nothing more may begin in the background.
	stopped bool
	// homesVersion is the version of the configuration by whose homes the running items were looked at last. The dispatcher alone uses it.
	homesVersion int64
	// decisions bounds the deciding runs.
	decisions decisions
	// begunInTime counts the begins in time since the last one of a late item.
	begunInTime int
}

func newPartition(id ledger.PartitionID, service *Service) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	return &partition{
		id: id, service: service, now: time.Now, born: clock.Now(), ctx: ctx, cancel: cancel,
		logger:    service.logger.With().Uint32(logging.FieldPartition, uint32(id)).Logger(),
		proposals: make(chan *proposal, proposalQueue), woken: make(chan struct{}, 1),
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
	return p.state.step(position, record)
}

// Serve implements ledger.StateMachine.
func (p *partition) Serve(owned ledger.Owned) {
	p.owned = owned
	p.recallCrashes()
	p.logger.Info().Int("jobs", len(p.state.jobs)).Msg("partition_served")
	p.running.Go(p.runAppender)
	p.running.Go(p.runDispatcher)
	p.running.Go(p.runCheckpoints)
	p.running.Go(p.runHousekeeping)
	p.service.add(p)
}

// Snapshot implements ledger.StateMachine.
func (p *partition) Snapshot() (upTo, keepFrom ledger.Position, encoded []byte, err error) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	encoded, err = p.state.snapshot()
	return p.state.upTo, p.state.upTo + 1, encoded, err
}

// Stop implements ledger.StateMachine.
func (p *partition) Stop() {
	p.service.remove(p)
	p.mutex.Lock()
	p.stopped = true
	p.mutex.Unlock()
	p.cancel()
	p.running.Wait()
}

// Quiesce implements ledger.Quiescer: nothing new is sent to replicas, and what the running items have made is recorded, so
// that the next owner goes on from there.
func (p *partition) Quiesce(ctx context.Context) {
	p.mutex.Lock()
	p.quiesced = true
	for _, run := range p.runs {
		if run.running && run.stop != nil {
			run.yield()
		}
	}
	p.mutex.Unlock()
	p.checkpoint(ctx)
}

// wake has the dispatcher look again, soon.
func (p *partition) wake() {
	subscription.Signal(p.woken)
}

// hasWork says that items wait or run.
func (p *partition) hasWork() bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, each := range p.state.order {
		if each.open() {
			return true
		}
	}
	return false
}

// elapsed is the time since the partition came here, which no step of the time of day changes.
func (p *partition) elapsed() time.Duration { return clock.Since(p.born) }

// confirmedSince says that ownership was proved by an append that began at or after since.
func (p *partition) confirmedSince(since time.Duration) bool {
	return p.confirmed.Load() >= int64(since)
}

// confirm returns once ownership has been proved at or after since. Callers that come together share appends.
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
