package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/logging"
)

// Timing holds the timeouts and intervals of the ledger.
type Timing struct {
	// Request is the timeout of a request to a store.
	Request time.Duration
	// Prepare is the timeout for a read quorum to promise and its tails to be read.
	Prepare time.Duration
	// Retry is the delay before a store that failed is retried.
	Retry time.Duration
	// Tick is the interval at which the commit position is sent to idle stores.
	Tick time.Duration
	// Check is the interval at which a node checks whether it should own more partitions.
	Check time.Duration
	// Backoff and MaxBackoff bound the delay before the next attempt to own a partition.
	Backoff, MaxBackoff time.Duration
	// Release is the timeout for the current owner to finish its appends and release the partition.
	Release time.Duration
	// Quiesce is the time that a state machine gets to quiesce before a planned end; it must be below Release.
	Quiesce time.Duration
	// SuspectRelease replaces Release for a current owner that is suspected to be dead.
	SuspectRelease time.Duration
	// OwnerSilence is how long a store must receive nothing from a partition's owner before its node tries to own the
	// partition, regardless of the membership; zero disables this.
	OwnerSilence time.Duration
	// MinTenure is how long a healthy owner keeps a partition for which another node is preferred.
	MinTenure time.Duration
	// MemberWait is the longest time after its start that a node waits to see the members of a partition before it tries
	// to own it; zero disables the wait.
	MemberWait time.Duration
	// Formation is how long the first start waits for the wanted number of stores.
	Formation time.Duration
	// Replace is how long a store may be gone before it is replaced.
	Replace time.Duration
	// ChangeRetry is the approximate delay before a failed change of an ensemble is retried; it is randomized.
	ChangeRetry time.Duration
	// SnapshotRecords and SnapshotBytes are the amounts appended between snapshots; either triggers one.
	SnapshotRecords int
	SnapshotBytes   int
}

// DefaultTiming returns the timing used by nodes.
func DefaultTiming() Timing {
	return Timing{
		Request: 2 * time.Second, Prepare: 5 * time.Second, Retry: 200 * time.Millisecond,
		Tick: 500 * time.Millisecond, Check: 250 * time.Millisecond,
		Backoff: 250 * time.Millisecond, MaxBackoff: 5 * time.Second,
		Release: 3 * time.Second, SuspectRelease: 500 * time.Millisecond, Quiesce: time.Second,
		Formation: 3 * time.Second, Replace: 30 * time.Second, ChangeRetry: 250 * time.Millisecond,
		SnapshotRecords: 50_000, SnapshotBytes: 64 << 20,
	}
}

// maxPendingBytes is the payload of appends waiting for their quorum above which no more are accepted.
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

// ownership drives one protocol.Owner: run's goroutine steps it, other goroutines send requests to
// the stores and post the results as events.
type ownership struct {
	partition PartitionID
	stores    *storeClient
	factory   Factory
	timing    Timing
	// onDecided is called with an ensemble that the members have decided on. It must not block.
	onDecided func(protocol.Ensemble)
	logger    zerolog.Logger

	// owner, pending, pendingBytes, releasing, preparing and starved belong to run's goroutine.
	owner        *protocol.Owner
	pending      []*appendRequest
	pendingBytes int
	releasing    bool
	// preparing ends an attempt that reaches no read quorum in time.
	preparing *time.Timer
	// starvedFor is how long the owner has been starved; see protocol.Owner.Starved.
	starvedFor time.Duration

	events  chan func() []protocol.Action
	appends chan *appendRequest
	// view is a copy of the owner's state for readers on other goroutines.
	view atomic.Pointer[ownedView]
	// ctx ends with the ownership; lost is closed then.
	ctx     context.Context
	cancel  context.CancelFunc
	lost    chan struct{}
	tasks   sync.WaitGroup
	serving atomic.Bool
	// quiescer is the serving state machine, if it is a Quiescer.
	quiescer atomic.Pointer[Quiescer]
	// began is the start of the attempt to own the partition.
	began time.Time
	// appendedRecords and appendedBytes count appends since the last snapshot.
	appendedRecords, appendedBytes atomic.Int64
}

// ownedView is an immutable copy of the owner's state.
type ownedView struct {
	ballot      protocol.Ballot
	ensemble    protocol.Ensemble
	recoveredTo Position
	phase       protocol.OwnerPhase
	committed   Position
	last        Position
	holdings    []protocol.Holding
	hasRoom     bool
	// waitingSince is when the oldest append without a quorum was proposed; zero if none is pending.
	waitingSince time.Time
}

func newOwnership(
	ctx context.Context, partition PartitionID, owner *protocol.Owner, stores *storeClient, factory Factory,
	onDecided func(protocol.Ensemble), timing Timing, logger zerolog.Logger,
) *ownership {
	o := &ownership{
		onDecided: onDecided,
		partition: partition, stores: stores, factory: factory, timing: timing, owner: owner, logger: logger, began: clock.Now(),
		events: make(chan func() []protocol.Action), appends: make(chan *appendRequest), lost: make(chan struct{}),
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.updateView()
	return o
}

// run prepares the ballot and serves under it until it is lost. It returns after all goroutines that it started have
// ended.
func (o *ownership) run() protocol.Lost {
	ticker := time.NewTicker(o.timing.Tick)
	defer ticker.Stop()
	o.preparing = time.NewTimer(o.timing.Prepare)
	defer o.preparing.Stop()
	var lost protocol.Lost
	step := func(actions []protocol.Action) {
		o.updateView()
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
		case request := <-o.acceptedAppends():
			step(o.propose(request))
		case <-ticker.C:
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

// starvedTooLong reports whether the owner has been starved for Timing.Prepare. It is called at each tick.
func (o *ownership) starvedTooLong() bool {
	if !o.owner.Starved() {
		o.starvedFor = 0
		return false
	}
	o.starvedFor += o.timing.Tick
	return o.starvedFor >= o.timing.Prepare
}

// acceptedAppends returns the channel of appends, or nil while none may be accepted.
func (o *ownership) acceptedAppends() <-chan *appendRequest {
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

// release quiesces the state machine, waits for appends in progress and ends the ownership. It reports whether the
// ownership ended before ctx did.
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

// healthy reports whether the owner is serving and no append has been pending for Timing.Request.
func (o *ownership) healthy(now time.Time) bool {
	view := o.view.Load()
	if !o.serving.Load() || view.phase != protocol.PhaseServing {
		return false
	}
	return view.waitingSince.IsZero() || now.Sub(view.waitingSince) < o.timing.Request
}

// recovering reports whether the attempt to own the partition began within Timing.Request and has not recovered the log
// yet. Each attempt starts the recovery anew, so that nodes which take the partition from one another before that leave
// it without an owner.
func (o *ownership) recovering(now time.Time) bool {
	return !o.serving.Load() && now.Sub(o.began) < o.timing.Request
}

// inContact reports whether the owner reaches a write quorum of its stores and no append has been pending for
// Timing.Request.
func (o *ownership) inContact(now time.Time) bool {
	view := o.view.Load()
	stuck := !view.waitingSince.IsZero() && now.Sub(view.waitingSince) >= o.timing.Request
	return o.serving.Load() && o.reachesQuorum() && !stuck
}

// reachesQuorum reports whether a write quorum of the owner's stores answered the last request.
func (o *ownership) reachesQuorum() bool {
	view := o.view.Load()
	answering := 0
	for _, holding := range view.holdings {
		if holding.Failures == 0 && !holding.Learner {
			answering++
		}
	}
	return answering >= view.ensemble.WriteQuorum
}

// responds reports whether the store answered the last request. A store that is not a member yet counts as responding.
func (o *ownership) responds(store protocol.StoreID) bool {
	for _, holding := range o.view.Load().holdings {
		if holding.Member.Store == store {
			return holding.Failures == 0
		}
	}
	return true
}

// isWhole reports whether the owner serves under the ensemble's version, and all members are full ones and answered the last
// request.
func (o *ownership) isWhole(ensemble protocol.Ensemble) bool {
	view := o.view.Load()
	if view.phase != protocol.PhaseServing || view.ensemble.Version != ensemble.Version {
		return false
	}
	for _, holding := range view.holdings {
		if !holding.Learner && (holding.Member.Joining || !holding.Attached || holding.Failures > 0) {
			return false
		}
	}
	return true
}

// learner returns the holding of the owner's learner, if there is one.
func (o *ownership) learner() (protocol.Holding, bool) {
	for _, holding := range o.view.Load().holdings {
		if holding.Learner {
			return holding, true
		}
	}
	return protocol.Holding{}, false
}

// post passes an event to run's goroutine; it is dropped once the ownership has ended.
func (o *ownership) post(event func() []protocol.Action) {
	select {
	case o.events <- event:
	case <-o.lost:
	}
}

// start runs task on its own goroutine and posts the event that it returns. The event is dropped if the owner has
// changed its ballot meanwhile. start is called on run's goroutine.
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

func (o *ownership) updateView() {
	var waitingSince time.Time
	if len(o.pending) > 0 {
		waitingSince = o.pending[0].proposedAt
	}
	o.view.Store(&ownedView{
		waitingSince: waitingSince,
		ballot:       o.owner.Ballot(), ensemble: o.owner.Ensemble(), recoveredTo: o.owner.RecoveredTo(),
		phase: o.owner.Phase(), committed: o.owner.Committed(), last: o.owner.Last(),
		holdings: o.owner.Holdings(), hasRoom: o.owner.HasRoom(),
	})
}

// execute carries out one action. It runs on run's goroutine and must not block.
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
		o.onDecided(typed.Ensemble)
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

// failed returns an event that reports a store's failure and schedules its retry after Timing.Retry.
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

// proposeEnsemble proposes the next ensemble to the members.
func (o *ownership) proposeEnsemble(next protocol.Ensemble) {
	o.post(func() []protocol.Action { return o.owner.ProposeEnsemble(next) })
}

// learn makes the owner copy its log to a store that is to become a member.
func (o *ownership) learn(store protocol.Member) {
	o.post(func() []protocol.Action {
		actions := o.owner.Learn(store)
		if len(actions) > 0 {
			o.logger.Info().Str(logging.FieldPeer, store.Node).Str(fieldStore, string(store.Store)).Msg("learner_added")
		}
		return actions
	})
}

// stopLearning ends the copying to the learner.
func (o *ownership) stopLearning() {
	o.post(func() []protocol.Action {
		o.owner.StopLearning()
		return nil
	})
}

// adopt makes the owner prepare again if ensemble is newer than its own. An owner that is not serving gives up, and the
// next attempt starts with the newer ensemble.
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
