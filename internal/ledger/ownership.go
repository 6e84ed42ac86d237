package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Timing holds the waits of the ledger.
type Timing struct {
	// Request bounds a message to a store.
	Request time.Duration
	// Prepare bounds the time until a read quorum has promised and its tails are read.
	Prepare time.Duration
	// Retry is the wait after a store failed.
	Retry time.Duration
	// Notice is the interval at which idle stores learn what is committed.
	Notice time.Duration
	// Check is the interval at which a node looks whether it should own more.
	Check time.Duration
	// Backoff and MaxBackoff bound the wait before the next attempt to own a partition.
	Backoff, MaxBackoff time.Duration
	// Release bounds the wait for a present owner to finish its appends and let go.
	Release time.Duration
	// Quiesce bounds how long a state machine is given before a planned end; it is below Release.
	Quiesce time.Duration
	// SuspectRelease bounds the wait for the answer of a present owner that is suspected to be dead.
	SuspectRelease time.Duration
	// Silence is how long a store hears nothing of a partition's owner before its node tries to own the partition, whatever
	// the membership says; zero is never.
	Silence time.Duration
	// Settle is for how long an owner that serves well keeps a partition that another node should own.
	Settle time.Duration
	// Gather is how long after its start a node waits at most to see the members of a partition before it tries to own it; zero is not at all.
	Gather time.Duration
	// Formation is how long the first start waits for more stores than there are.
	Formation time.Duration
	// Replace is how long a store may be gone before another takes its place.
	Replace time.Duration
	// ChangeRetry is about how long the wait is before a change of an ensemble that failed is tried again.
	ChangeRetry time.Duration
	// SnapshotRecords and SnapshotBytes are what is appended between snapshots.
	SnapshotRecords int
	SnapshotBytes   int
}

// DefaultTiming returns the waits used by nodes.
func DefaultTiming() Timing {
	return Timing{
		Request: 2 * time.Second, Prepare: 5 * time.Second, Retry: 200 * time.Millisecond,
		Notice: 500 * time.Millisecond, Check: 250 * time.Millisecond,
		Backoff: 250 * time.Millisecond, MaxBackoff: 5 * time.Second,
		Release: 3 * time.Second, SuspectRelease: 500 * time.Millisecond, Quiesce: time.Second,
		Formation: 3 * time.Second, Replace: 30 * time.Second, ChangeRetry: 250 * time.Millisecond,
		SnapshotRecords: 50_000, SnapshotBytes: 64 << 20,
	}
}

// maxPendingBytes bounds the payload of appends that wait for their quorum.
const maxPendingBytes = 8 << 20

// Log fields of the ledger.
const (
	fieldBallot   = "ballot"
	fieldCause    = "cause"
	fieldHigher   = "higher"
	fieldPosition = "position"
	fieldVersion  = "version"
	fieldStore    = "store"
)

// ownership drives one protocol.Owner: run's goroutine steps it, other goroutines talk to
// the stores and post what came of it as events.
type ownership struct {
	partition PartitionID
	stores    *storeClient
	factory   Factory
	timing    Timing
	// decided is told of an ensemble that the members have decided on. It must not block.
	decided func(protocol.Ensemble)
	logger  zerolog.Logger

	// owner, pending, pendingBytes, releasing, preparing and starved belong to run's goroutine.
	owner        *protocol.Owner
	pending      []*appendRequest
	pendingBytes int
	releasing    bool
	// preparing ends an attempt that gets no read quorum.
	preparing *time.Timer
	// starved is for how long the owner has been starved.
	starved time.Duration

	events  chan func() []protocol.Action
	appends chan *appendRequest
	// view is what readers on other goroutines know of the owner.
	view atomic.Pointer[ownedView]
	// ctx ends when the ownership does; lost is closed then.
	ctx     context.Context
	cancel  context.CancelFunc
	lost    chan struct{}
	tasks   sync.WaitGroup
	serving atomic.Bool
	// quiescer is the state machine, once it serves, if it is one.
	quiescer atomic.Pointer[Quiescer]
	// began is when the attempt to own the partition began.
	began time.Time
	// appended counts records and bytes since the last snapshot.
	appendedRecords, appendedBytes atomic.Int64
}

// ownedView is an immutable copy of what the owner knows of its stores.
type ownedView struct {
	ballot      protocol.Ballot
	ensemble    protocol.Ensemble
	recoveredTo Position
	phase       protocol.OwnerPhase
	committed   Position
	last        Position
	holdings    []protocol.Holding
	hasRoom     bool
	// waitingSince is when the oldest append that waits for its quorum came; zero where none waits.
	waitingSince time.Time
}

func newOwnership(ctx context.Context, partition PartitionID, owner *protocol.Owner, stores *storeClient, factory Factory, decided func(protocol.Ensemble), timing Timing, logger zerolog.Logger) *ownership {
	o := &ownership{
		decided:   decided,
		partition: partition, stores: stores, factory: factory, timing: timing, owner: owner, logger: logger, began: clock.Now(),
		events: make(chan func() []protocol.Action), appends: make(chan *appendRequest), lost: make(chan struct{}),
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.publish()
	return o
}

// run takes the ballot and serves under it until it is lost. It returns after everything that it started has ended.
func (o *ownership) run() protocol.Lost {
	notice := time.NewTicker(o.timing.Notice)
	defer notice.Stop()
	o.preparing = time.NewTimer(o.timing.Prepare)
	defer o.preparing.Stop()
	var lost protocol.Lost
	step := func(actions []protocol.Action) {
		o.publish()
		for _, action := range actions {
			if ended, is := action.(protocol.Lost); is {
				lost = ended
			}
			o.execute(action)
		}
	}
	step(o.owner.Start())
	for o.owner.Phase() != protocol.PhaseLost {
		select {
		case event := <-o.events:
			step(event())
		case request := <-o.acceptable():
			step(o.propose(request))
		case <-notice.C:
			step(o.owner.Tick())
			if o.starvedTooLong() {
				step(o.owner.GiveUp(protocol.LossUnreadable))
			}
		case <-o.preparing.C:
			if o.owner.Phase() < protocol.PhaseRewriting {
				step(o.owner.GiveUp(protocol.LossTimeout))
			}
		case <-o.ctx.Done():
			step(o.owner.GiveUp(protocol.LossReleased))
		}
		if o.releasing && len(o.pending) == 0 {
			step(o.owner.GiveUp(protocol.LossReleased))
		}
	}
	o.end()
	return lost
}

// starvedTooLong is asked at each notice.
func (o *ownership) starvedTooLong() bool {
	if !o.owner.Starved() {
		o.starved = 0
		return false
	}
	o.starved += o.timing.Notice
	return o.starved >= o.timing.Prepare
}

// acceptable returns the channel of appends, or nil while none may be taken.
func (o *ownership) acceptable() <-chan *appendRequest {
	if o.owner.Phase() != protocol.PhaseServing || o.releasing || o.pendingBytes > maxPendingBytes {
		return nil
	}
	return o.appends
}

func (o *ownership) end() {
	o.serving.Store(false)
	close(o.lost)
	o.cancel()
	for _, request := range o.pending {
		request.fail(errOwnershipLost())
	}
	o.pending = nil
	o.tasks.Wait()
}

// release quiesces the state machine, lets appends in progress finish, ends the ownership and waits for its end.
func (o *ownership) release(ctx context.Context) bool {
	if quiescer := o.quiescer.Load(); quiescer != nil {
		bounded, cancel := context.WithTimeout(ctx, o.timing.Quiesce)
		(*quiescer).Quiesce(bounded)
		cancel()
	}
	o.post(func() []protocol.Action {
		o.releasing = true
		return nil
	})
	select {
	case <-o.lost:
		return true
	case <-ctx.Done():
		return false
	}
}

// servesWell tells whether the owner takes appends and none has waited long.
func (o *ownership) servesWell(now time.Time) bool {
	view := o.view.Load()
	if !o.serving.Load() || view.phase != protocol.PhaseServing {
		return false
	}
	return view.waitingSince.IsZero() || now.Sub(view.waitingSince) < o.timing.Request
}

// inContact says that a write quorum of the owner's stores answers it.
func (o *ownership) inContact(now time.Time) bool {
	view := o.view.Load()
	stuck := !view.waitingSince.IsZero() && now.Sub(view.waitingSince) >= o.timing.Request
	return o.serving.Load() && o.reachesQuorum() && !stuck
}

// reachesQuorum says that a write quorum of the owner's stores answered the last request.
func (o *ownership) reachesQuorum() bool {
	view := o.view.Load()
	answering := 0
	for _, holding := range view.holdings {
		if holding.Failures == 0 {
			answering++
		}
	}
	return answering >= view.ensemble.WriteQuorum
}

// answers tells whether the store answered the last request; one that is not a member yet counts as answering.
func (o *ownership) answers(store protocol.StoreID) bool {
	for _, holding := range o.view.Load().holdings {
		if holding.Member.Store == store {
			return holding.Failures == 0
		}
	}
	return true
}

// post hands an event to run's goroutine; it is dropped once the ownership has ended.
func (o *ownership) post(event func() []protocol.Action) {
	select {
	case o.events <- event:
	case <-o.lost:
	}
}

// start runs task on its own goroutine; what it returns is posted, and dropped if the owner has taken another
// ballot meanwhile. It is called on run's goroutine.
func (o *ownership) start(task func(ctx context.Context) func() []protocol.Action) {
	ballot := o.owner.Ballot()
	o.tasks.Go(func() {
		event := task(o.ctx)
		o.post(func() []protocol.Action {
			if o.owner.Ballot() != ballot {
				return nil
			}
			return event()
		})
	})
}

func (o *ownership) publish() {
	var waitingSince time.Time
	if len(o.pending) > 0 {
		waitingSince = o.pending[0].since
	}
	o.view.Store(&ownedView{
		waitingSince: waitingSince,
		ballot:       o.owner.Ballot(), ensemble: o.owner.Ensemble(), recoveredTo: o.owner.RecoveredTo(),
		phase: o.owner.Phase(), committed: o.owner.Committed(), last: o.owner.Last(),
		holdings: o.owner.Holdings(), hasRoom: o.owner.HasRoom(),
	})
}

// execute does one action. It runs on run's goroutine and must not block.
func (o *ownership) execute(action protocol.Action) {
	switch typed := action.(type) {
	case protocol.SendPrepare:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.sendPrepare(ctx, typed) })
	case protocol.ReadTail:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.readTail(ctx, typed) })
	case protocol.SendAppend:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.sendAppend(ctx, typed) })
	case protocol.Fetch:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.fetch(ctx, typed) })
	case protocol.TransferSnapshot:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.transferSnapshot(ctx, typed) })
	case protocol.SendProposal:
		o.start(func(ctx context.Context) func() []protocol.Action { return o.sendProposal(ctx, typed) })
	case protocol.EnsembleDecided:
		o.logger.Info().Stringer(fieldBallot, o.owner.Ballot()).Uint64(fieldVersion, typed.Ensemble.Version).
			Stringer("members", typed.Ensemble).Msg("ensemble_decided")
		o.decided(typed.Ensemble)
	case protocol.Acknowledge:
		o.acknowledge(typed.Through)
	case protocol.Recovered:
		o.logger.Info().Stringer(fieldBallot, o.owner.Ballot()).Uint64(fieldPosition, uint64(typed.Last)).Msg("partition_recovered")
		o.serving.Store(true)
		o.tasks.Add(1)
		go o.serveMachine(typed.Last)
	case protocol.Lost:
		o.logger.Info().Stringer(fieldBallot, o.owner.Ballot()).Str(fieldCause, string(typed.Cause)).
			Stringer(fieldHigher, typed.Higher).Msg("partition_lost")
	}
}

// failed reports a store's failure now and lets it be tried again after a while.
func (o *ownership) failed(store protocol.StoreID) func() []protocol.Action {
	return func() []protocol.Action {
		o.retryLater(store)
		return o.owner.Failed(store)
	}
}

func (o *ownership) retryLater(store protocol.StoreID) {
	o.start(func(ctx context.Context) func() []protocol.Action {
		timer := time.NewTimer(o.timing.Retry)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return func() []protocol.Action { return o.owner.Retry(store) }
	})
}

// proposeEnsemble has the members decide on the next ensemble.
func (o *ownership) proposeEnsemble(next protocol.Ensemble) {
	o.post(func() []protocol.Action { return o.owner.ProposeEnsemble(next) })
}

// adopt has the owner prepare again where ensemble is newer than its own; one that does not serve yet starts anew.
func (o *ownership) adopt(ensemble protocol.Ensemble) {
	o.post(func() []protocol.Action {
		if ensemble.Version <= o.owner.Ensemble().Version {
			return nil
		}
		if o.owner.Phase() != protocol.PhaseServing {
			return o.owner.GiveUp(protocol.LossEnsembleChanged)
		}
		o.preparing.Reset(o.timing.Prepare)
		return o.owner.PrepareAgain(ensemble)
	})
}
