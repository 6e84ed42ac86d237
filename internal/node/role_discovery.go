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

// watchPace says how long the key-value service holds watches. The feed decides on that; it is made after the port to the service, which
// needs the pace, and is set then.
type watchPace struct {
	feed atomic.Pointer[changefeed.Feed]
}

// firstHold is how long watches are held until the feed is set.
const firstHold = time.Second

func (w *watchPace) wait() time.Duration {
	feed := w.feed.Load()
	if feed == nil {
		return firstHold
	}
	return feed.Hold()
}

func newRoleKeyValue(own settings.Settings, adapter Adapter, via network.Network, pace *watchPace) platform.KeyValue {
	exchanger := platform.NewExchanger(via, own.Platform.MetadataStore)
	return adapter.KeyValue(exchanger, pace.wait)
}

// newFeed has discovery follow the key-value service through the nodes that watch it.
func newFeed(lifecycle fx.Lifecycle, store platform.KeyValue, caller transport.Caller, registrar transport.Registrar, members *membership.Service, pace *watchPace, logger zerolog.Logger) *changefeed.Feed {
	feed := changefeed.New(store, caller, registrar, members, logger)
	pace.feed.Store(feed)
	lifecycle.Append(fx.StartStopHook(feed.Start, feed.Stop))
	return feed
}

// newCopies keeps what discovery follows, for starts while the key-value service does not answer.
func newCopies(own settings.Settings, store *changefeed.Feed, caller transport.Caller, registrar transport.Registrar, members *membership.Service, registerer prometheus.Registerer, logger zerolog.Logger) (*snapshotcache.Cache, error) {
	var relays membership.ViewCache[zonerelay.Relays]
	lister := func() (snapshotcache.Lister, bool) {
		view := members.View()
		first, found := relays.Get(view, zonerelay.Select).First()
		return snapshotcache.Lister{Address: first.PeerAddress, Self: first.ID == view.Self}, found
	}
	return snapshotcache.New(snapshotcache.Options{
		Lister: lister, MaxShortEntries: roster.MaxFullList,
		Store: store, Caller: caller, Registrar: registrar, Viewer: members, Join: members.AddContact, ServiceUnanswered: store.Unanswered,
		Seeds: own.Seeds(), DataFolder: own.DataFolder, RandomSeed: uint64(time.Now().UnixNano()), Registerer: registerer, Logger: logger,
	})
}

// partOfReplicas is how this node gets its part of the replicas, where there are too many for each node to keep all.
type partOfReplicas struct {
	roster *roster.Roster
	keeper *roster.Keeper
	relays *roster.Follower
}

// newPartOfReplicas has this node also answer others that follow their part, while it keeps the whole list.
func newPartOfReplicas(own settings.Settings, feed *changefeed.Feed, adapter Adapter, directory *replica.Directory, members *membership.Service, caller transport.Caller, registrar transport.Registrar, logger zerolog.Logger) partOfReplicas {
	all, keeper := roster.New(), roster.NewKeeper(directory)
	feed.WatchAlone(adapter.Translator.ReplicaPrefix(), roster.MaxFullList, all.Long)
	roster.NewRelay(all, func() bool { return !feed.Answered() }, registrar)
	options := roster.FollowerOptions{
		Node: membership.NodeID(own.Node), Zone: own.Zone, Caller: caller, Viewer: members, Keeper: keeper,
		Logger: logger.With().Str(logging.FieldSlice, "roster").Logger(),
	}
	if own.Role != settings.RoleStorage {
		options.Seeds = own.Seeds()
	}
	relays := roster.NewFollower(options)
	return partOfReplicas{roster: all, keeper: keeper, relays: relays}
}

func newDiscovery(lifecycle fx.Lifecycle, own settings.Settings, copies *snapshotcache.Cache, adapter Adapter, routes *route.Holder, directory *replica.Directory, part partOfReplicas, members *membership.Service, registerer prometheus.Registerer, logger zerolog.Logger) (*discovery.Service, error) {
	metrics, err := discovery.NewMetrics(registerer)
	if err != nil {
		return nil, err
	}
	service := discovery.New(discovery.Options{
		Store: copies, Translator: adapter.Translator, Routes: routes, Directory: directory, Viewer: members, Reporter: members, Copies: copies,
		Roster: part.roster, Keeper: part.keeper, Relays: part.relays, Node: membership.NodeID(own.Node), Zone: own.Zone,
		Metrics: metrics, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(copies.Start, copies.Stop))
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service, nil
}

func newRegisteredMachines(lifecycle fx.Lifecycle, own settings.Settings, store platform.KeyValue) platform.MachineList {
	machines := platform.NewRegisteredMachines(store, platform.Machine{
		ID: own.Node, Role: platform.RoleNode, Region: own.Region, Zone: own.Zone, Address: own.PeerAddress,
	})
	if own.Role != settings.RoleStorage && len(own.Seeds()) > 0 {
		machines.RegisterOnDemand()
	}
	lifecycle.Append(fx.StartStopHook(machines.Start, machines.Stop))
	return machines
}

// followEvacuations has nothing more sent to the replicas of zones that operators ask to evacuate.
func followEvacuations(operators *discovery.Service, adapter Adapter, directory *replica.Directory, registerer prometheus.Registerer, logger zerolog.Logger) error {
	metrics, err := evacuation.NewMetrics(registerer)
	if err != nil {
		return err
	}
	operators.FollowOperators(evacuation.NewRegister(adapter.Translator, directory, metrics, logger))
	return nil
}
