package changefeed

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

// Methods between nodes.
const (
	methodChanges   transport.Method = "changefeed.changes"
	methodHeartbeat transport.Method = "changefeed.heartbeat"
	methodRecovery  transport.Method = "changefeed.recovery"
)

const (
	// heartbeatInterval is the interval of heartbeats of a watcher that receives responses from the service.
	heartbeatInterval = 500 * time.Millisecond
	// watcherTimeout is how long a node receives nothing from any watcher before it watches the service itself.
	watcherTimeout = 1500 * time.Millisecond
	// startupWatcherTimeout is watcherTimeout after a node's start. It is longer because, when all nodes start at once, the watchers begin
	// after joinWait, get their first response up to watcherHold later, and send a heartbeat only then.
	startupWatcherTimeout = 2500 * time.Millisecond
	// answeredWithin is how recent the service's last response must be for this node to count as answered.
	answeredWithin = 2500 * time.Millisecond
	// roleCheckInterval is how often a node checks whether it has to watch the service.
	roleCheckInterval = 200 * time.Millisecond
	// joinWait is how long a node waits after its start to learn of other members before it can become a watcher. Nothing is lost
	// meanwhile: the listing at the start is as recent as what a watch would deliver.
	joinWait = 600 * time.Millisecond
	// maxJoinWait limits that wait for a node that is still learning of members. Without the wait, many of a thousand nodes starting at
	// once would consider themselves watchers, and each would send all changes to every member that it knows.
	maxJoinWait = 3 * time.Second
	// batchDelay is the pause after a response with changes before the service is asked again, since each response is a call. The first
	// change after a quiet period is forwarded at once. A draining replica accepts requests for at least 2 s after it announces the drain;
	// about a third of that is allowed for nodes that learn of it late because of this delay.
	batchDelay = 600 * time.Millisecond
	// inboxLength limits the messages queued for a slow reader. If it overflows, the prefix is listed again.
	inboxLength = 256
	// maxForwardedBytes limits the size of a message with changes; nodes list the prefix instead of receiving a larger one. Both watchers
	// send each message to all nodes: at 60 nodes and 30 Mbit/s per link, one message of this size occupies a watcher's link for a second.
	maxForwardedBytes = 64 << 10
	// arrivalSlack is how long after a position the changes up to it may still arrive. Messages of one connection are handled
	// concurrently, which reorders them by a few milliseconds on a busy node with a fifth of a core.
	arrivalSlack = 50 * time.Millisecond
)

// Feed is a platform.KeyValue whose Watch is served, on most nodes, by the watchers instead of the service. It is safe for concurrent use.
type Feed struct {
	platform.KeyValue
	caller transport.Caller
	viewer membership.Viewer
	logger zerolog.Logger
	// relays caches the zones' relays; relayed tracks what this node, as a relay, has sent to its zone.
	relays  membership.ViewCache[zonerelay.Relays]
	relayed *relayState
	growth  membership.JoinTracker
	// monitor detects recoveries of the service, each of which signals recovered.
	monitor   ServiceMonitor
	recovered chan struct{}
	// listings is the number of listings in progress.
	listings atomic.Int64
	// watcher caches whether this node is a watcher.
	watcher membership.ViewCache[bool]

	started time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mutex guards the fields below.
	mutex sync.Mutex
	// lastHeartbeat is when a watcher last sent a heartbeat or changes. It starts in the future, so that watcherTimeout first expires
	// startupWatcherTimeout after the start.
	lastHeartbeat time.Time
	// lastAnswer is when the service last answered a watch or listing of this node; zero after a failed watch.
	lastAnswer time.Time
	prefixes   map[string]*prefixState
	// aloneByPrefix holds, by prefix, the functions that report whether this node currently watches the prefix only for itself.
	aloneByPrefix map[string]func() bool
	// maxKeys holds, by prefix, the number of keys up to which every node keeps all of them.
	maxKeys map[string]int
	// recoveryKnownAt is when this node last detected, or was informed of, a recovery of the service.
	recoveryKnownAt time.Time
}

// New returns a Feed of store and registers the handlers of its messages.
func New(
	store platform.KeyValue, caller transport.Caller, registrar transport.Registrar, viewer membership.Viewer, logger zerolog.Logger,
) *Feed {
	now := clock.Now()
	feed := &Feed{
		KeyValue:      store,
		caller:        caller,
		viewer:        viewer,
		started:       now,
		lastHeartbeat: now.Add(startupWatcherTimeout - watcherTimeout),
		prefixes:      map[string]*prefixState{},
		aloneByPrefix: map[string]func() bool{},
		maxKeys:       map[string]int{},
		relayed:       newRelayState(),
		monitor:       noMonitor{},
		recovered:     make(chan struct{}, 1),
		logger:        logger.With().Str(logging.FieldSlice, "changefeed").Logger(),
	}
	feed.growth.SettledFor(viewer.View(), now)
	registrar.Handle(methodChanges, func() proto.Message { return &changefeedpb.Changes{} },
		func(_ context.Context, _ netip.AddrPort, message proto.Message) (proto.Message, error) {
			feed.onChanges(message.(*changefeedpb.Changes), clock.Now())
			return nil, nil
		})
	registrar.Handle(methodHeartbeat, func() proto.Message { return &changefeedpb.Heartbeat{} },
		func(_ context.Context, _ netip.AddrPort, message proto.Message) (proto.Message, error) {
			feed.onHeartbeat(message.(*changefeedpb.Heartbeat), clock.Now())
			return nil, nil
		})
	registrar.Handle(methodRecovery, func() proto.Message { return &changefeedpb.Recovery{} },
		func(_ context.Context, _ netip.AddrPort, message proto.Message) (proto.Message, error) {
			feed.onRecovery(message.(*changefeedpb.Recovery), clock.Now())
			return nil, nil
		})
	return feed
}

// Start starts sending heartbeats whenever this node is a watcher, and announcing recoveries of the service.
func (f *Feed) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { pause.Every(ctx, heartbeatInterval, f.heartbeatIfWatcher) })
	f.running.Go(func() { f.announceRecoveries(ctx) })
}

// Stop stops the heartbeats and announcements and waits for the last ones; watches end with their contexts.
func (f *Feed) Stop() {
	f.cancel()
	f.running.Wait()
}

// List reads all keys below prefix from the service and records the revision up to which changes are known. A watcher that lists again
// because the service has compacted its history forwards what it missed, so that the other nodes need not list as well.
func (f *Feed) List(ctx context.Context, prefix string) (platform.Listing, error) {
	f.listings.Add(1)
	defer f.listings.Add(-1)
	listing, err := f.KeyValue.List(ctx, prefix)
	if err != nil {
		return listing, err
	}
	now := clock.Now()
	wasUnanswered := f.recordAnswer(now)
	if missed := f.applyListing(prefix, listing); missed != nil && !f.watchesAlone(prefix) {
		f.sendChanges(missed)
	}
	if wasUnanswered {
		f.heartbeatIfWatcher(now)
	}
	return listing, nil
}

// recordAnswer records that the service has answered a watch or listing of this node, and reports whether it had not within answeredWithin.
func (f *Feed) recordAnswer(now time.Time) (wasUnanswered bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wasUnanswered = now.Sub(f.lastAnswer) >= answeredWithin
	f.lastAnswer = now
	return wasUnanswered
}

// state returns the state of a prefix and creates it if needed. The mutex must be held.
func (f *Feed) state(prefix string) *prefixState {
	state, known := f.prefixes[prefix]
	if !known {
		state = &prefixState{inbox: make(chan *changefeedpb.Changes, inboxLength), retryNow: make(chan struct{}, 1)}
		f.prefixes[prefix] = state
	}
	return state
}

// WatchAlone makes this node watch prefix only for itself while alone returns true: changes are then neither forwarded to nor taken from
// other nodes. maxKeys is the number of keys up to which every node keeps all of them; beyond it, the watch of a node that has missed a
// change ends with KindTooLong. It must be called before the first watch of prefix.
func (f *Feed) WatchAlone(prefix string, maxKeys int, alone func() bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.aloneByPrefix[prefix], f.maxKeys[prefix] = alone, maxKeys
}

// watchesAlone reports whether this node currently watches prefix only for itself.
func (f *Feed) watchesAlone(prefix string) bool {
	f.mutex.Lock()
	alone := f.aloneByPrefix[prefix]
	f.mutex.Unlock()
	return alone != nil && alone()
}

// watchesAnyAlone reports whether watchesAlone holds for any prefix.
func (f *Feed) watchesAnyAlone() bool {
	f.mutex.Lock()
	prefixes := slices.Collect(maps.Keys(f.aloneByPrefix))
	f.mutex.Unlock()
	return slices.ContainsFunc(prefixes, f.watchesAlone)
}

// Answered reports whether the service has answered a watch or listing of this node within answeredWithin.
func (f *Feed) Answered() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return clock.Since(f.lastAnswer) < answeredWithin
}

// shouldWatch reports whether this node has to watch prefix at the service: only for itself, as a watcher, or because the watchers are
// silent.
func (f *Feed) shouldWatch(prefix string, now time.Time) bool {
	if f.watchesAlone(prefix) {
		return true
	}
	return !f.isJoining(now) && (f.watchersSilent(now) || f.isWatcher(f.viewer.View()))
}

// isJoining reports whether this node has started so recently that it may not know the other members yet. While it is, watcherTimeout is
// restarted, since the watchers may be starting as well.
func (f *Feed) isJoining(now time.Time) bool {
	joins := f.growth.Joining(f.viewer.View(), now, now.Sub(f.started), joinWait, maxJoinWait)
	if joins {
		f.mutex.Lock()
		f.recordHeartbeat(now)
		f.mutex.Unlock()
	}
	return joins
}

// Unanswered reports whether the service has answered neither this node, for answeredWithin, nor apparently any watcher, since none has
// sent a heartbeat for watcherTimeout.
func (f *Feed) Unanswered() bool {
	now := clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastHeartbeat) >= watcherTimeout && now.Sub(f.lastAnswer) >= answeredWithin
}

// Current reports whether this node has heard of the service shortly before, from it or from a watcher, so that it knows of changes in time.
func (f *Feed) Current() bool {
	now := clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastHeartbeat) < 2*heartbeatInterval || now.Sub(f.lastAnswer) < 2*heartbeatInterval
}

// watchersSilent reports whether no watcher has sent anything for watcherTimeout.
func (f *Feed) watchersSilent(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastHeartbeat) >= watcherTimeout
}
