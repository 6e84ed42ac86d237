package node

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/evacuation"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/snapshotcache"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

// servicePolicy provides the times that depend on this node's role in the change feed: for how long the key-value service may hold watch
// calls, and how often a service that does not answer is probed. The feed is created after the port to the service, which needs the
// times, so it is set later.
type servicePolicy struct {
	feed atomic.Pointer[changefeed.Feed]
}

// initialHold is the time for which watch calls are held before the feed is set.
const initialHold = time.Second

func (p *servicePolicy) hold() time.Duration {
	feed := p.feed.Load()
	if feed == nil {
		return initialHold
	}
	return feed.Hold()
}

func (p *servicePolicy) probeInterval() time.Duration {
	feed := p.feed.Load()
	if feed == nil {
		return platform.ProbeInterval
	}
	return feed.ProbeInterval()
}

func newExchanger(nodeSettings settings.Settings, via network.Network, policy *servicePolicy, logger zerolog.Logger) *platform.Exchanger {
	exchanger := platform.NewExchanger(via, nodeSettings.Platform.MetadataStore)
	exchanger.LogTo(logger.With().Str(logging.FieldSlice, "platform").Logger())
	exchanger.SetProbeInterval(policy.probeInterval)
	return exchanger
}

func newRoleKeyValue(adapter Adapter, exchanger *platform.Exchanger, policy *servicePolicy) platform.KeyValue {
	return adapter.KeyValue(exchanger, policy.hold)
}

// newFeed returns the feed through which discovery follows the key-value service: only some nodes watch the service, and relay its changes.
func newFeed(
	lifecycle fx.Lifecycle,
	store platform.KeyValue,
	exchanger *platform.Exchanger,
	caller transport.Caller,
	registrar transport.Registrar,
	members *membership.Service,
	policy *servicePolicy,
	logger zerolog.Logger,
) *changefeed.Feed {
	feed := changefeed.New(store, caller, registrar, members, logger)
	feed.Monitor(exchanger)
	policy.feed.Store(feed)
	lifecycle.Append(fx.StartStopHook(feed.Start, feed.Stop))
	return feed
}

// newSnapshotCache returns the cache of the data that discovery follows, for starts while the key-value service does not answer.
func newSnapshotCache(
	nodeSettings settings.Settings,
	store *changefeed.Feed,
	caller transport.Caller,
	registrar transport.Registrar,
	members *membership.Service,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) (*snapshotcache.Cache, error) {
	var relays membership.ViewCache[zonerelay.Relays]
	lister := func() (snapshotcache.Lister, bool) {
		view := members.View()
		first, found := relays.Get(view, zonerelay.Select).First()
		return snapshotcache.Lister{Address: first.PeerAddress, Self: first.ID == view.Self}, found
	}
	return snapshotcache.New(snapshotcache.Options{
		Lister: lister, MaxShortEntries: roster.MaxFullList,
		Store: store, Caller: caller, Registrar: registrar, Viewer: members, Join: members.AddContact, ServiceUnanswered: store.Unanswered,
		Seeds: nodeSettings.Seeds(), DataFolder: nodeSettings.DataFolder, RandomSeed: uint64(time.Now().UnixNano()), Registerer: registerer, Logger: logger,
	})
}

// replicaSubset holds the components through which this node gets its subset of the replicas if there are too many for each node to
// keep all.
type replicaSubset struct {
	roster *roster.Roster
	keeper *roster.Keeper
	relays *roster.Follower
}

// newReplicaSubset also makes this node a relay for nodes that follow their subsets, while it keeps the complete list.
func newReplicaSubset(
	nodeSettings settings.Settings,
	feed *changefeed.Feed,
	adapter Adapter,
	directory *replica.Directory,
	members *membership.Service,
	caller transport.Caller,
	registrar transport.Registrar,
	logger zerolog.Logger,
) replicaSubset {
	fullRoster, keeper := roster.New(), roster.NewKeeper(directory)
	feed.WatchAlone(adapter.Translator.ReplicaPrefix(), roster.MaxFullList, fullRoster.Long)
	roster.NewRelay(fullRoster, func() bool { return !feed.Answered() }, registrar)
	options := roster.FollowerOptions{
		Node: membership.NodeID(nodeSettings.Node), Zone: nodeSettings.Zone, Caller: caller, Viewer: members, Keeper: keeper,
		Logger: logger.With().Str(logging.FieldSlice, "roster").Logger(),
	}
	if nodeSettings.Role != settings.RoleStorage {
		options.Seeds = nodeSettings.Seeds()
	}
	relays := roster.NewFollower(options)
	return replicaSubset{roster: fullRoster, keeper: keeper, relays: relays}
}

func newDiscovery(
	lifecycle fx.Lifecycle,
	nodeSettings settings.Settings,
	cache *snapshotcache.Cache,
	feed *changefeed.Feed,
	store platform.KeyValue,
	adapter Adapter,
	routes *route.Holder,
	directory *replica.Directory,
	subset replicaSubset,
	members *membership.Service,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) (*discovery.Service, error) {
	metrics, err := discovery.NewMetrics(registerer)
	if err != nil {
		return nil, err
	}
	history, _ := store.(platform.ChangeReader)
	service := discovery.New(discovery.Options{
		Store: cache, Translator: adapter.Translator, Routes: routes, Directory: directory, Viewer: members, Reporter: members, Copies: cache,
		Roster: subset.roster, Keeper: subset.keeper, Relays: subset.relays, Node: membership.NodeID(nodeSettings.Node), Zone: nodeSettings.Zone,
		Changes: history, Checked: feed.Checked, RetryNow: feed.RetryNow, Metrics: metrics, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(cache.Start, cache.Stop))
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service, nil
}

func newRegisteredMachines(lifecycle fx.Lifecycle, nodeSettings settings.Settings, store platform.KeyValue) platform.MachineList {
	machines := platform.NewRegisteredMachines(store, platform.Machine{
		ID: nodeSettings.Node, Role: platform.RoleNode, Region: nodeSettings.Region, Zone: nodeSettings.Zone, Address: nodeSettings.PeerAddress,
	})
	if nodeSettings.Role != settings.RoleStorage && len(nodeSettings.Seeds()) > 0 {
		machines.RegisterOnDemand()
	}
	lifecycle.Append(fx.StartStopHook(machines.Start, machines.Stop))
	return machines
}

// followEvacuations stops requests to the replicas of zones that operators request to evacuate.
func followEvacuations(
	operators *discovery.Service,
	adapter Adapter,
	directory *replica.Directory,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) error {
	metrics, err := evacuation.NewMetrics(registerer)
	if err != nil {
		return err
	}
	operators.FollowOperators(evacuation.NewRegister(adapter.Translator, directory, metrics, logger))
	return nil
}
