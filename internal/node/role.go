package node

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/edge"
	"github.com/sloelift/sloelift/internal/evacuation"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/retirement"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/snapshotcache"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// memoryShare is the part of the process's memory at which the garbage collector works hardest.
	memoryShare = 0.75
	// collectAt is the growth of the heap, in percent, after which garbage is collected.
	collectAt = 60
	// metricsHeaderTimeout bounds the wait for the header of a request for figures.
	metricsHeaderTimeout = 4 * time.Second
	// MetricsPath is where a process tells its figures.
	MetricsPath = "/metrics"
)

// Adapter translates between the platform that the processes run on and the product's types.
type Adapter struct {
	Headers    replica.Headers
	ReadyPath  string
	Translator Translator
	// KeyValue makes the port to the platform's key-value service.
	KeyValue func(exchanger *platform.Exchanger, watchWait func() time.Duration) platform.KeyValue
	// Report is how replicas are asked for their load.
	Report replica.LoadReport
	// Batch makes the HTTP calls about batch jobs.
	Batch func(door *batch.Door) BatchCalls
}

// Translator reads and writes the entries of the key-value service.
type Translator interface {
	discovery.Translator
	retirement.Translator
	evacuation.Translator
}

// BatchCalls are the HTTP calls about batch jobs.
type BatchCalls interface {
	forward.BatchSubmitter
	// Register adds the calls other than submissions; each is authenticated first.
	Register(router *mux.Router, authenticate func(forward.JobCall) http.HandlerFunc)
}

// RunRole runs an edge or a storage node until ctx ends, and stops it as planned.
func RunRole(ctx context.Context, own settings.Settings, adapter Adapter, logger zerolog.Logger) error {
	limitMemory(own.Limits.MemoryMegabytes)
	logger = logger.With().Str(logging.FieldNode, own.Node).Str(logging.FieldZone, own.Zone).Logger()
	registry := prometheus.NewRegistry()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.Supply(own, adapter, logger),
		fx.Provide(
			func() network.Network { return network.System{} },
			func() prometheus.Registerer { return registry },
			func() prometheus.Gatherer { return registry },
		),
		sharedSlices,
		roleSlices(own.Role),
	)
	if err := app.Err(); err != nil {
		return err
	}
	startContext, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		return err
	}
	logger.Info().Str("role", string(own.Role)).Int("process", os.Getpid()).Msg("node_started")
	<-ctx.Done()
	logger.Info().Msg("node_stopping")
	stopContext, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	err := app.Stop(stopContext)
	logger.Info().Err(err).Msg("node_stopped")
	return err
}

func limitMemory(megabytes int) {
	debug.SetGCPercent(collectAt)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryShare))
	}
}

// sharedSlices run in each role.
var sharedSlices = fx.Options(
	fx.Provide(
		func() *watchPace { return &watchPace{} }, newRoleKeyValue, newFeed, newCopies, route.NewHolder, replica.NewDirectory, newDiscovery, newReplicaClient, newPicker,
		newRegisteredMachines, newColdStarts, newQuarantine, func() *ledger.Timing { return &roleLedgerTiming },
		func() *membership.Timing { return &roleMembershipTiming },
	),
	transport.Module, membership.Module, ledger.Module,
	fx.Invoke(serveMetrics, announceStore, followEvacuations, followHomes),
)

// roleLedgerTiming replaces the ledger's lost members sooner than on large machines: little is kept on a small disk.
var roleLedgerTiming = func() ledger.Timing {
	timing := ledger.DefaultTiming()
	timing.Replace = 2 * time.Second
	timing.Formation = time.Second
	timing.MaxBackoff = time.Second
	timing.Request = time.Second
	timing.Silence = 800 * time.Millisecond
	timing.ChangeRetry = 120 * time.Millisecond
	timing.Check = 100 * time.Millisecond
	timing.Notice = 250 * time.Millisecond
	timing.SuspectRelease = 300 * time.Millisecond
	timing.Settle = time.Minute
	timing.Gather = 600 * time.Millisecond
	return timing
}()

// roleMembershipTiming reads the list of registered nodes more rarely: each reading is a priced call, and nodes that have
// joined hear of others from each other.
var roleMembershipTiming = func() membership.Timing {
	timing := membership.DefaultTiming()
	timing.ListPeriod = 45 * time.Second
	// A node of a platform has a fifth of a core: it probes half as often. A dead node is known in its zone after 2.8 s instead of 2.6 s.
	timing.ZoneProbePeriod = 500 * time.Millisecond
	timing.RemoteProbePeriod = time.Second
	timing.DigestPeriod = 2 * time.Second
	// A storage node that came back without its disk is filled only once the others know of it.
	timing.JoinPeriod = 50 * time.Millisecond
	timing.MaxJoinPeriod = 300 * time.Millisecond
	return timing
}()

func roleSlices(role settings.Role) fx.Option {
	if role == settings.RoleStorage {
		return fx.Options(
			fx.Provide(newBatchService, newLoadShare(loadsharepb.Kind_KIND_BATCH), func(service *batch.Service) ledger.Factory { return service.Factory() }),
			fx.Invoke(followRetirements, yieldToOnline),
		)
	}
	return fx.Options(
		fx.Provide(newLoadShare(loadsharepb.Kind_KIND_ONLINE), newGate, forward.NewMetrics, newBatchCalls, newForwardHandler, newEdgeServer, noFactory),
		quota.Module,
		fx.Invoke(func(*edge.Server) {}),
	)
}

// watchPace says how long watches are held. The feed that knows is set once it is there; it needs the key-value service itself.
type watchPace struct {
	feed atomic.Pointer[changefeed.Feed]
}

// firstHold holds until then.
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
	return snapshotcache.New(snapshotcache.Options{
		Store: store, Caller: caller, Registrar: registrar, Viewer: members, Join: members.AddContact, Unanswered: store.Unanswered,
		Seeds: own.Seeds(), DataFolder: own.DataFolder, RandomSeed: uint64(time.Now().UnixNano()), Registerer: registerer, Logger: logger,
	})
}

func newDiscovery(lifecycle fx.Lifecycle, copies *snapshotcache.Cache, adapter Adapter, routes *route.Holder, directory *replica.Directory, members *membership.Service, logger zerolog.Logger) *discovery.Service {
	service := discovery.New(discovery.Options{
		Store: copies, Translator: adapter.Translator, Routes: routes, Directory: directory, Viewer: members, Reporter: members, Copies: copies, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(copies.Start, copies.Stop))
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}

func newReplicaClient(adapter Adapter, via network.Network) *replica.Client {
	return replica.NewClient(via, adapter.Headers)
}

func newRegisteredMachines(lifecycle fx.Lifecycle, own settings.Settings, store platform.KeyValue) platform.MachineList {
	machines := platform.NewRegisteredMachines(store, platform.Machine{
		ID: own.Node, Role: platform.RoleNode, Region: own.Region, Zone: own.Zone, Address: own.PeerAddress,
	})
	lifecycle.Append(fx.StartStopHook(machines.Start, machines.Stop))
	return machines
}

const (
	// batchMemoryShare is the part of the process's memory that bodies and results of batch jobs may take.
	batchMemoryShare = 0.3
	// defaultMemoryMegabytes and defaultKeepResults hold where the settings name none.
	defaultMemoryMegabytes = 512
	defaultKeepResults     = 10 * time.Minute
)

func newBatchService(own settings.Settings, adapter Adapter, routes *route.Holder, directory *replica.Directory, shared *loadshare.Service, picker *balance.Picker, client *replica.Client, coldStarts *coldstart.Service, register quarantine.Register, registrar transport.Registrar, logger zerolog.Logger) *batch.Service {
	memory := cmp.Or(own.Limits.MemoryMegabytes, defaultMemoryMegabytes)
	return batch.NewService(batch.Options{
		Zone: own.Zone, MaxBytes: int64(float64(memory<<20) * batchMemoryShare),
		KeepResults: cmp.Or(own.Bounds.Poll, defaultKeepResults), Report: adapter.Report, ColdStarts: coldStarts, Quarantine: register,
	}, routes, directory, shared, picker, client, registrar, logger)
}

func newBatchCalls(adapter Adapter, locator ledger.Locator, homes ledger.Homes, caller transport.Caller, registrar transport.Registrar, members *membership.Service, logger zerolog.Logger) BatchCalls {
	return adapter.Batch(batch.NewDoor(locator, homes, caller, registrar, members, logger))
}

// followRetirements empties storage nodes on request.
func followRetirements(lifecycle fx.Lifecycle, operators *discovery.Service, store platform.KeyValue, adapter Adapter, manager *ledger.Manager, members *membership.Service, logger zerolog.Logger) {
	service := retirement.New(store, adapter.Translator, manager, members, logger)
	operators.FollowOperators(service)
	lifecycle.Append(fx.StopHook(service.Stop))
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

// newLoadShare shares with the other nodes how many requests each has at the replicas.
func newLoadShare(kind loadsharepb.Kind) any {
	return func(lifecycle fx.Lifecycle, own settings.Settings, directory *replica.Directory, members *membership.Service, caller transport.Caller, registrar transport.Registrar, logger zerolog.Logger) *loadshare.Service {
		service := loadshare.New(loadshare.Options{Zone: own.Zone, Kind: kind}, directory, members, caller, registrar, logger)
		lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
		return service
	}
}

// newGate holds online requests back while all nodes' callers want more than the replicas have.
func newGate(directory *replica.Directory, shared *loadshare.Service) *forward.Gate {
	gate := forward.NewGate(directory, shared)
	shared.SetDemands(gate.Demands, gate.Changed)
	return gate
}

// yieldToOnline has batch items give way as soon as other nodes tell of more online requests.
func yieldToOnline(shared *loadshare.Service, service *batch.Service) {
	shared.SetOwner(service.Works, service.OnlineChanged)
}

// noFactory is the factory of a process that never owns a partition.
func noFactory() ledger.Factory {
	return func(ledger.PartitionID) ledger.StateMachine { panic("an edge owns no partition") }
}

func newPicker(own settings.Settings, directory *replica.Directory) *balance.Picker {
	return balance.NewPicker(directory, own.Topology(), nil)
}

// newColdStarts bounds what cold replicas get. Storage nodes send them nothing: items wait for warm ones.
func newColdStarts(lifecycle fx.Lifecycle, own settings.Settings, routes *route.Holder, directory *replica.Directory, store platform.KeyValue, members *membership.Service, registerer prometheus.Registerer, logger zerolog.Logger) *coldstart.Service {
	options := coldstart.Options{
		Bounds: coldstart.Bounds{Burst: own.Bounds.ColdBurst, Slack: own.Bounds.ColdSlack},
		Routes: routes, Directory: directory, Viewer: members, Registerer: registerer, Logger: logger,
	}
	if own.Role != settings.RoleStorage {
		options.Store = store
	}
	service := coldstart.New(options)
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}

// newQuarantine keeps messages from replicas that crash them.
func newQuarantine(lifecycle fx.Lifecycle, via network.Network, directory *replica.Directory, members *membership.Service, caller transport.Caller, registrar transport.Registrar, registerer prometheus.Registerer, logger zerolog.Logger) quarantine.Register {
	service := quarantine.NewService(quarantine.Options{
		Network: via, Directory: directory, Viewer: members, Caller: caller, Registrar: registrar, Registerer: registerer, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}

func newForwardHandler(own settings.Settings, routes *route.Holder, directory *replica.Directory, picker *balance.Picker, client *replica.Client, gate *forward.Gate, limits *quota.Service, coldStarts *coldstart.Service, register quarantine.Register, shared *loadshare.Service, calls BatchCalls, logger zerolog.Logger, metrics *forward.Metrics) *forward.Handler {
	return forward.NewHandler(forward.Options{
		Routes: routes, Directory: directory, Picker: picker, Client: client, Zone: own.Zone, Batch: calls, Gate: gate, Quota: limits, ColdStarts: coldStarts, Refresh: shared.Refresh,
		Quarantine: register, Logger: logger, Metrics: metrics,
	})
}

func newEdgeServer(lifecycle fx.Lifecycle, own settings.Settings, adapter Adapter, handler *forward.Handler, calls BatchCalls, _ *discovery.Service, via network.Network, logger zerolog.Logger) *edge.Server {
	server := edge.NewServer(edge.Options{
		Handler: handler, Logger: logger, Network: via, Grace: own.Bounds.Grace, FileDescriptors: own.Limits.FileDescriptors,
		Addresses: edge.Addresses{Callers: own.CallerAddress, Readiness: own.ReadinessAddress, ReadyPath: adapter.ReadyPath},
		Calls:     func(router *mux.Router) { calls.Register(router, handler.AuthenticateJobCall) },
	})
	lifecycle.Append(fx.Hook{OnStart: server.Start, OnStop: func(ctx context.Context) error {
		server.Stop(ctx)
		return nil
	}})
	return server
}

// serveMetrics tells the process's figures at the admin address.
func serveMetrics(lifecycle fx.Lifecycle, own settings.Settings, gatherer prometheus.Gatherer, via network.Network) {
	router := mux.NewRouter()
	router.Handle(MetricsPath, promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: router, ReadHeaderTimeout: metricsHeaderTimeout, ErrorLog: logging.Discard()}
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := via.Listen(ctx, own.AdminAddress)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
