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

// ownerSeparator stands between the node's id and the attempt's name in a ballot's owner.
const ownerSeparator = "#"

// newOwnerName names one attempt to own a partition. No two attempts share a name, so that no two ballots are
// the same, whatever numbers they come by.
func newOwnerName(node membership.NodeID) string {
	return string(node) + ownerSeparator + ulid.Make().String()
}

// handoverTimeout bounds the wait for the appends of one partition at a planned stop; without a quorum they don't end.
const handoverTimeout = 10 * time.Second

// Manager decides which partitions this node tries to own and keeps their ensembles whole. Safety
// rests on ballots alone; what the Manager believes only decides when to try.
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

	// topology says where zones lie, zone where this node stands; confined holds the keys whose records are confined to regions, refusedWithin
	// counts the records that had no place there.
	topology      region.Topology
	zone          string
	confined      confinedKeys
	refusedWithin atomic.Int64

	// retiring holds the nodes that are to be emptied.
	retiring atomic.Pointer[map[membership.NodeID]bool]

	// started is set by Start. leaving is set by Handover and stays set.
	started time.Time
	leaving atomic.Bool
	// loading, stale, nextLoad, settingsReported and partitions belong to the control goroutine. stale says that an
	// ensemble seems outdated; settingsReported, that the settings have been compared with the ledger's head.
	loading          bool
	stale            bool
	nextLoad         time.Time
	settingsReported bool
	partitions       map[PartitionID]*partitionControl
	// upkeep belongs to the control goroutine as well.
	upkeep confinedUpkeep

	// owned holds the present ownerships for readers on other goroutines; mutex guards it and the end of ctx.
	mutex sync.RWMutex
	owned map[PartitionID]*ownership
	hints *ownerHints
}

// partitionControl is the control goroutine's state of one partition.
type partitionControl struct {
	trying    bool
	ownership *ownership
	number    uint64
	backoff   time.Duration
	nextTry   time.Time
	changing  bool
	// nextChange is when the ensemble may be changed again after a change that failed.
	nextChange time.Time
	// publishing says that the key-value service is being told of the ensemble; nextPublish is when it may be told again.
	publishing  bool
	nextPublish time.Time
	// overdue says that the owner has been silent for too long; declined is when an owner last declined to let go.
	overdue  bool
	declined time.Time
	// unwell is since when a member of the ensemble has been seen as gone, silent when a former one left that was.
	unwell map[protocol.StoreID]time.Time
	silent map[protocol.StoreID]time.Time
}

// Dependencies of a Manager. Local is nil on a node without a data folder.
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

// NewManager registers the ledger's handlers; nothing runs before Start.
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
		upkeep: confinedUpkeep{since: map[PartitionID]time.Time{}, reported: map[PartitionID]bool{}},
	}
	manager.ctx, manager.cancel = context.WithCancel(context.Background())
	registerStore(dependencies.Registry, dependencies.Local)
	manager.registerNode(dependencies.Registry)
	return manager
}

// Start begins to look for partitions to own. It does not wait for anything.
func (m *Manager) Start() {
	m.started = clock.Now()
	m.tasks.Go(m.run)
}

// Stop ends all ownerships at once and returns when they have ended.
func (m *Manager) Stop() {
	m.mutex.Lock()
	m.cancel()
	m.mutex.Unlock()
	m.tasks.Wait()
}

// background runs task on its own goroutine, which Stop waits for; after Stop it does nothing.
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

// post runs event on the control goroutine, soon; it is dropped after Stop.
func (m *Manager) post(event func()) {
	select {
	case m.events <- event:
	case <-m.ctx.Done():
	}
}

// start runs task on its own goroutine and then done on the control goroutine.
func (m *Manager) start(task func(), done func()) {
	m.background(func() {
		task()
		m.post(done)
	})
}

// check starts what is due. It runs on the control goroutine.
func (m *Manager) check(now time.Time) {
	if m.stale || !m.directory.complete() {
		m.loadDirectory(now)
	}
	fixed, known := m.directory.fixed()
	if !known || m.leaving.Load() {
		return
	}
	view := m.viewer.View()
	m.keepConfined(view, now)
	if m.neverOwns() {
		return
	}
	for partition := range PartitionID(fixed.partitions) {
		m.checkPartition(partition, view, now)
	}
	for _, partition := range m.directory.confined() {
		m.checkPartition(partition, view, now)
	}
}

// checkPartition starts what is due for one partition. It runs on the control goroutine.
func (m *Manager) checkPartition(partition PartitionID, view *membership.View, now time.Time) {
	control := m.control(partition)
	preferred, ok := preferredOwner(view, partition, m.ownersOf(partition))
	mine := ok && preferred.ID == m.self
	control.overdue = !mine && m.ownerSilent(partition, control, now)
	if (mine || control.overdue) && !control.trying && !now.Before(control.nextTry) && !m.gathering(partition, view, now) {
		m.try(partition, control)
	}
	if control.ownership != nil {
		m.maintain(partition, control, view, now)
	}
}

// neverOwns says that this node has no store and only nodes with one own partitions.
func (m *Manager) neverOwns() bool { return m.local == nil && m.settings.OwnersOnStores }

func (m *Manager) control(partition PartitionID) *partitionControl {
	control, present := m.partitions[partition]
	if !present {
		control = &partitionControl{unwell: map[protocol.StoreID]time.Time{}, silent: map[protocol.StoreID]time.Time{}}
		m.partitions[partition] = control
	}
	return control
}

// try starts an attempt to own partition, which lasts until the ownership is lost.
func (m *Manager) try(partition PartitionID, control *partitionControl) {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return
	}
	control.trying = true
	began := clock.Now()
	number, overdue := control.number, control.overdue
	var result attemptResult
	m.start(
		func() { result = m.attempt(partition, ensemble, number, overdue) },
		func() {
			control.trying = false
			control.ownership = nil
			if result.lost.Cause != protocol.LossDeclined {
				m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Bool("overdue", overdue).
					Str(fieldCause, string(result.lost.Cause)).Dur("lasted", clock.Since(began)).Msg("ownership_ended")
			}
			if result.lost.Cause == protocol.LossDeclined {
				control.declined = clock.Now()
			}
			control.number = max(control.number, result.number, result.lost.Higher.Number)
			m.directory.learn(result.lost.Ensemble)
			m.stale = m.stale || result.lost.Cause == protocol.LossTimeout
			control.backoff = m.nextBackoff(control.backoff, result, clock.Since(began))
			control.nextTry = clock.Now().Add(control.backoff/2 + rand.N(control.backoff/2+1))
		})
}

// nextBackoff returns the wait before the next attempt: none after a change of ensemble, the shortest one after
// an ownership that lasted, else twice the last.
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

// Handover ends this node's ownerships, each after the appends in progress, and takes no more. It
// returns once all have ended or ctx has.
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

// ownerNode returns the node of a ballot's owner.
func ownerNode(owner string) membership.NodeID {
	node, _, _ := strings.Cut(owner, ownerSeparator)
	return membership.NodeID(node)
}
