package ledger

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

// ownerSeparator separates the node's ID from the attempt's unique suffix in a ballot's owner.
const ownerSeparator = "#"

// newOwnerName returns a name for one attempt to own a partition. Names are unique, so that no two attempts use the
// same ballot even if they choose the same number.
func newOwnerName(node membership.NodeID) string {
	return string(node) + ownerSeparator + ulid.Make().String()
}

// handoverTimeout bounds the wait for appends in progress at a planned stop; without a quorum they would not end.
const handoverTimeout = 10 * time.Second

// Manager decides which partitions this node tries to own and repairs their ensembles. Safety depends on
// ballots alone; the Manager's knowledge, which may be out of date, only determines when it tries.
type Manager struct {
	self     membership.NodeID
	settings settings.Ledger
	timing   Timing
	logger   zerolog.Logger

	local     *store.Store
	stores    *storeClient
	directory *directory
	caller    transport.Caller
	viewer    membership.Viewer
	factory   Factory

	// events run on the control goroutine.
	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// topology maps zones to regions; zone is this node's.
	topology region.Topology
	zone     string
	// confined holds the keys whose records are confined to regions.
	confined confinedKeys
	// unplacedRequests counts the requests for a partition within regions that had none.
	unplacedRequests atomic.Int64

	// retiring holds the nodes that are being retired; see SetRetiring.
	retiring atomic.Pointer[map[membership.NodeID]bool]

	// started is set by Start. leaving is set by Handover and stays set.
	started time.Time
	leaving atomic.Bool
	// The fields from loading to confinedFormation belong to the control goroutine.
	loading bool
	// stale is set if an ensemble of the directory seems out of date.
	stale    bool
	nextLoad time.Time
	// followingRetiring is set while the retiring nodes are asked for their ensembles, which is due again at nextFollow.
	followingRetiring bool
	nextFollow        time.Time
	// settingsReported is set once the settings have been compared with the ledger's head.
	settingsReported  bool
	partitions        map[PartitionID]*partitionControl
	confinedFormation confinedFormationState

	// owned holds the current ownerships for readers on other goroutines; mutex guards it and the end of ctx.
	mutex sync.RWMutex
	owned map[PartitionID]*ownership
	hints *ownerHints
}

// partitionControl is the control goroutine's state of one partition.
type partitionControl struct {
	attempting   bool
	ownership    *ownership
	ballotNumber uint64
	backoff      time.Duration
	nextTry      time.Time
	changing     bool
	// nextChange is when the ensemble may be changed again after a failed change.
	nextChange time.Time
	// publishing is set while the ensemble is written to the key-value service; nextPublish is the earliest time
	// of the next write.
	publishing  bool
	nextPublish time.Time
	// overdue is set if the owner has been silent for too long; declined is when an owner last declined a release.
	overdue  bool
	declined time.Time
	// missingSince is when a member of the ensemble was first seen as gone or not responding.
	missingSince map[protocol.StoreID]time.Time
	// learnerMissingSince is when the owner's learner was first seen as not responding; zero if it responds.
	learnerMissingSince time.Time
	// removedAt is when a store that was missing was removed from the ensemble.
	removedAt map[protocol.StoreID]time.Time
}

// Dependencies are the dependencies of a Manager. Local is nil on a node without a data folder.
type Dependencies struct {
	Settings settings.Settings
	Timing   Timing
	Logger   zerolog.Logger
	Local    *store.Store
	Caller   transport.Caller
	Registry transport.Registrar
	KeyValue platform.KeyValue
	Viewer   membership.Viewer
	Factory  Factory
}

// NewManager creates a Manager and registers the ledger's handlers; nothing runs before Start.
func NewManager(dependencies Dependencies) *Manager {
	manager := &Manager{
		self:     membership.NodeID(dependencies.Settings.Node),
		settings: dependencies.Settings.Ledger, timing: dependencies.Timing,
		logger: dependencies.Logger.With().Str(logging.FieldSlice, "ledger").Logger(),
		local:  dependencies.Local, caller: dependencies.Caller, viewer: dependencies.Viewer, factory: dependencies.Factory,
		stores:    newStoreClient(dependencies.Local, dependencies.Caller, dependencies.Viewer),
		directory: newDirectory(dependencies.KeyValue),
		events:    make(chan func()), partitions: map[PartitionID]*partitionControl{},
		owned: map[PartitionID]*ownership{}, hints: newOwnerHints(),
		topology: dependencies.Settings.Topology(), zone: dependencies.Settings.Zone,
		confinedFormation: confinedFormationState{since: map[PartitionID]time.Time{}, reported: map[PartitionID]bool{}},
	}
	manager.ctx, manager.cancel = context.WithCancel(context.Background())
	registerStore(dependencies.Registry, dependencies.Local)
	manager.registerNode(dependencies.Registry)
	return manager
}

// Start starts the control goroutine. It does not block.
func (m *Manager) Start() {
	m.started = clock.Now()
	m.tasks.Go(m.run)
}

// Stop ends all ownerships, without a handover, and returns when they have ended.
func (m *Manager) Stop() {
	m.mutex.Lock()
	m.cancel()
	m.mutex.Unlock()
	m.tasks.Wait()
}

// background runs task on its own goroutine, for which Stop waits; after Stop it does nothing.
func (m *Manager) background(task func()) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.ctx.Err() == nil {
		m.tasks.Go(task)
	}
}

func (m *Manager) run() {
	changed := make(chan struct{}, 1)
	unsubscribe := m.viewer.Subscribe(func(*membership.View) {
		subscription.Signal(changed)
	})
	defer unsubscribe()
	ticker := time.NewTicker(m.timing.Check)
	defer ticker.Stop()
	for {
		select {
		case event := <-m.events:
			event()
		case <-ticker.C:
			m.check(clock.Now())
		case <-changed:
			m.check(clock.Now())
		case <-m.ctx.Done():
			return
		}
	}
}

// post queues event for the control goroutine; it is dropped after Stop.
func (m *Manager) post(event func()) {
	select {
	case m.events <- event:
	case <-m.ctx.Done():
	}
}

// start runs task on its own goroutine, and afterwards done on the control goroutine.
func (m *Manager) start(task func(), done func()) {
	m.background(func() {
		task()
		m.post(done)
	})
}

// check starts the work that is due: loading the directory, forming confined partitions, attempts to own partitions and
// changes of ensembles. It runs on the control goroutine.
func (m *Manager) check(now time.Time) {
	if m.stale || !m.directory.complete() {
		m.loadDirectory(now)
	}
	fixed, known := m.directory.fixed()
	if !known || m.leaving.Load() {
		return
	}
	view := m.viewer.View()
	m.formConfined(view, now)
	if m.neverOwns() {
		return
	}
	m.followRetiring(view, now)
	for partition := range PartitionID(fixed.partitions) {
		m.checkPartition(partition, view, now)
	}
	for _, partition := range m.directory.confined() {
		m.checkPartition(partition, view, now)
	}
}

// checkPartition starts the work that is due for one partition. It runs on the control goroutine.
func (m *Manager) checkPartition(partition PartitionID, view *membership.View, now time.Time) {
	control := m.control(partition)
	preferred, ok := m.preferredOwner(view, partition)
	preferredHere := ok && preferred.ID == m.self
	control.overdue = !preferredHere && m.ownerSilent(partition, control, now)
	waiting := m.awaitingMembers(partition, view, now) || m.awaitingHolders(partition, now)
	if (preferredHere || control.overdue) && !control.attempting && !now.Before(control.nextTry) && !waiting {
		m.startAttempt(partition, control)
	}
	if control.ownership != nil {
		m.maintain(partition, control, view, now)
	}
}

// neverOwns reports whether this node has no store and only nodes with a store may own partitions.
func (m *Manager) neverOwns() bool { return m.local == nil && m.settings.OwnersOnStores }

func (m *Manager) control(partition PartitionID) *partitionControl {
	control, present := m.partitions[partition]
	if !present {
		control = &partitionControl{missingSince: map[protocol.StoreID]time.Time{}, removedAt: map[protocol.StoreID]time.Time{}}
		m.partitions[partition] = control
	}
	return control
}

// startAttempt starts an attempt to own partition, which lasts until the ownership is lost.
func (m *Manager) startAttempt(partition PartitionID, control *partitionControl) {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return
	}
	control.attempting = true
	began := clock.Now()
	number, overdue := control.ballotNumber, control.overdue
	var result attemptResult
	m.start(
		func() { result = m.attempt(partition, ensemble, number, overdue) },
		func() {
			control.attempting = false
			control.ownership = nil
			if result.lost.Cause != protocol.LossDeclined {
				m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Bool("overdue", overdue).
					Str(fieldCause, string(result.lost.Cause)).Dur("lasted", clock.Since(began)).Msg("ownership_ended")
			}
			if result.lost.Cause == protocol.LossDeclined {
				control.declined = clock.Now()
			}
			control.ballotNumber = max(control.ballotNumber, result.number, result.lost.Higher.Number)
			m.directory.learn(result.lost.Ensemble)
			m.stale = m.stale || result.lost.Cause == protocol.LossTimeout
			control.backoff = m.nextBackoff(control.backoff, result, clock.Since(began))
			control.nextTry = clock.Now().Add(control.backoff/2 + rand.N(control.backoff/2+1))
		})
}

// nextBackoff returns the delay before the next attempt: zero after a change of ensemble, Timing.Backoff for the first
// attempt or after one that lasted longer than Timing.MaxBackoff, otherwise twice the last delay.
func (m *Manager) nextBackoff(last time.Duration, result attemptResult, lasted time.Duration) time.Duration {
	switch {
	case result.lost.Cause == protocol.LossEnsembleChanged || result.lost.Ensemble.Version > 0:
		return 0
	case last == 0 || lasted > m.timing.MaxBackoff:
		return m.timing.Backoff
	default:
		return min(2*last, m.timing.MaxBackoff)
	}
}

// Handover releases this node's ownerships, each after its appends in progress, and starts no new ones. It
// returns once all have ended, or with an error if ctx ends or handoverTimeout passes first.
func (m *Manager) Handover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	m.leaving.Store(true)
	m.mutex.RLock()
	ownerships := make([]*ownership, 0, len(m.owned))
	for _, ownership := range m.owned {
		ownerships = append(ownerships, ownership)
	}
	m.mutex.RUnlock()
	var releases sync.WaitGroup
	for _, ownership := range ownerships {
		releases.Go(func() { ownership.release(ctx) })
	}
	releases.Wait()
	return ctx.Err()
}

func (m *Manager) ownership(partition PartitionID) (*ownership, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	ownership, present := m.owned[partition]
	return ownership, present
}

func (m *Manager) setOwnership(partition PartitionID, ownership *ownership) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if ownership == nil {
		delete(m.owned, partition)
		return
	}
	m.owned[partition] = ownership
}

// ownerNode returns the node part of a ballot's owner.
func ownerNode(owner string) membership.NodeID {
	node, _, _ := strings.Cut(owner, ownerSeparator)
	return membership.NodeID(node)
}
