package changefeed

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
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
)

const (
	// heartbeatInterval is how often a watcher that is answered says so.
	heartbeatInterval = 500 * time.Millisecond
	// silence is how long a node hears no watcher before it watches by itself.
	silence = 1500 * time.Millisecond
	// firstSilence is the same after its start: where all nodes start at once, the watchers begin after joinTime, are first answered a
	// watcherHold later, and send their next heartbeat then.
	firstSilence = 2500 * time.Millisecond
	// answeredWithin is the time since the service's last answer within which a watcher counts as answered.
	answeredWithin = 2500 * time.Millisecond
	// turnInterval is how often a node looks whether it is to watch.
	turnInterval = 200 * time.Millisecond
	// joinTime is for how long after its start a node waits to learn of the others before it takes itself for a watcher; what it lists
	// at its start is as new as what a watch would tell.
	joinTime = 600 * time.Millisecond
	// longestJoin bounds that wait for a node that still learns of others: of a thousand that start at once many would take themselves for
	// watchers, and each would send all changes to all that it knows.
	longestJoin = 3 * time.Second
	// gatherWait is how long changes are gathered before the service is asked for more, for each answer is a call. The first change after
	// a calm is told at once. A replica that drains takes requests for 2 s or more after it said so; a third of that is left for
	// nodes that hear of it late.
	gatherWait = 600 * time.Millisecond
	// inboxLength bounds the messages that wait for a slow reader; past it the prefix is listed again.
	inboxLength = 256
	// maxPassedOn bounds the bytes of a message that passes changes on; nodes read what is larger themselves. It goes to each node from
	// both watchers: at 60 nodes with links of 30 Mbit/s one message of this size takes the watcher a second.
	maxPassedOn = 64 << 10
	// arrivalSlack is how long after a position the changes up to it may still arrive: messages of one connection are handled side by
	// side, which takes a few milliseconds on a busy node with a fifth of a core.
	arrivalSlack = 50 * time.Millisecond
)

// Feed is the key-value service with watches that most nodes follow through others. It is safe for concurrent use.
type Feed struct {
	platform.KeyValue
	caller transport.Caller
	viewer membership.Viewer
	logger zerolog.Logger
	// relays are those of the zones, zone what this node as one of them has sent on.
	relays membership.PerView[zonerelay.Relays]
	zone   *zoneState
	growth membership.Growth
	// watcher says whether this node is a watcher.
	watcher membership.PerView[bool]

	started time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mutex guards the fields below. lastHeartbeat is when a watcher last sent something, answered when the service last answered a watch or a
	// listing of this node. At the start lastHeartbeat is set so that silence ends after firstSilence.
	mutex         sync.Mutex
	lastHeartbeat time.Time
	answered      time.Time
	prefixes      map[string]*prefixState
	// alone says of a prefix whether this node watches it for itself alone at present.
	alone map[string]func() bool
	// mostKept is the number of keys of a prefix up to which each node keeps all.
	mostKept map[string]int
}

// New returns a Feed of store and registers its methods.
func New(store platform.KeyValue, caller transport.Caller, registrar transport.Registrar, viewer membership.Viewer, logger zerolog.Logger) *Feed {
	now := clock.Now()
	feed := &Feed{
		KeyValue: store, caller: caller, viewer: viewer, started: now, lastHeartbeat: now.Add(firstSilence - silence),
		prefixes: map[string]*prefixState{}, alone: map[string]func() bool{}, mostKept: map[string]int{}, zone: newZoneState(),
		logger: logger.With().Str(logging.FieldSlice, "changefeed").Logger(),
	}
	feed.growth.SettledFor(viewer.View(), now)
	registrar.Handle(methodChanges, func() proto.Message { return &changefeedpb.Changes{} },
		func(_ context.Context, _ netip.AddrPort, message proto.Message) (proto.Message, error) {
			feed.take(message.(*changefeedpb.Changes), clock.Now())
			return nil, nil
		})
	registrar.Handle(methodHeartbeat, func() proto.Message { return &changefeedpb.Heartbeat{} },
		func(_ context.Context, _ netip.AddrPort, message proto.Message) (proto.Message, error) {
			feed.takeHeartbeat(message.(*changefeedpb.Heartbeat), clock.Now())
			return nil, nil
		})
	return feed
}

// Start begins to send heartbeats where this node is a watcher.
func (f *Feed) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { pause.Every(ctx, heartbeatInterval, f.beat) })
}

// Stop ends the heartbeats; watches end with their contexts.
func (f *Feed) Stop() {
	f.cancel()
	f.running.Wait()
}

// List reads all keys below prefix from the service, and notes up to where changes are known. A watcher that lists again, since the
// service has dropped its history, passes on what it missed, so that the other nodes need not list as well.
func (f *Feed) List(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := f.KeyValue.List(ctx, prefix)
	if err != nil {
		return listing, err
	}
	f.noteAnswered(clock.Now())
	if missed := f.takeListing(prefix, listing); missed != nil && !f.watchesAlone(prefix) {
		f.sendChanges(missed)
	}
	return listing, nil
}

// noteAnswered notes that the service has answered this node, which may be a watcher.
func (f *Feed) noteAnswered(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answered = now
}

// state returns the state of a prefix. The mutex is held.
func (f *Feed) state(prefix string) *prefixState {
	state, known := f.prefixes[prefix]
	if !known {
		state = &prefixState{inbox: make(chan *changefeedpb.Changes, inboxLength)}
		f.prefixes[prefix] = state
	}
	return state
}

// WatchAlone has this node watch prefix for itself while alone says so: changes of it are neither passed on nor taken from others then. most is
// the number of keys up to which each node keeps all; beyond it the watch of a node that has missed something ends with KindTooLong.
// It is called before the first watch of prefix.
func (f *Feed) WatchAlone(prefix string, most int, alone func() bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.alone[prefix], f.mostKept[prefix] = alone, most
}

// watchesAlone says that this node watches prefix for itself.
func (f *Feed) watchesAlone(prefix string) bool {
	f.mutex.Lock()
	alone := f.alone[prefix]
	f.mutex.Unlock()
	return alone != nil && alone()
}

// watchesAnyAlone says that of some prefix.
func (f *Feed) watchesAnyAlone() bool {
	f.mutex.Lock()
	prefixes := slices.Collect(maps.Keys(f.alone))
	f.mutex.Unlock()
	return slices.ContainsFunc(prefixes, f.watchesAlone)
}

// Answered says that the service has answered a watch of this node of late.
func (f *Feed) Answered() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return clock.Since(f.answered) < answeredWithin
}

// watchesNow says that this node watches prefix at the service: for itself, as one of the watchers, or since no heartbeat came for long.
func (f *Feed) watchesNow(prefix string, now time.Time) bool {
	if f.watchesAlone(prefix) {
		return true
	}
	return !f.joining(now) && (f.watchersSilent(now) || f.isWatcher(f.viewer.View()))
}

// joining says that this node has started a short while ago and may not know the others yet. Its wait for watchers, which start as well, counts
// from the end of that.
func (f *Feed) joining(now time.Time) bool {
	joins := f.growth.Joining(f.viewer.View(), now, now.Sub(f.started), joinTime, longestJoin)
	if joins {
		f.mutex.Lock()
		f.noteHeartbeat(now)
		f.mutex.Unlock()
	}
	return joins
}

// Unanswered says that for long this node has had no answer of the service, and no heartbeat of a watcher has come, which each watcher sends
// while the service answers it.
func (f *Feed) Unanswered() bool {
	now := clock.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastHeartbeat) >= silence && now.Sub(f.answered) >= answeredWithin
}

// watchersSilent says that no heartbeat came for long.
func (f *Feed) watchersSilent(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastHeartbeat) >= silence
}
