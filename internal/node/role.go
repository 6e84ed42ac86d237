package node

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/edge"
	"github.com/sloelift/sloelift/internal/evacuation"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/retirement"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// memoryShare is the part of the process's memory at which the garbage collector works hardest.
	memoryShare = 0.75
	// collectAt is the growth of the heap, in percent, after which garbage is collected.
	collectAt = 60
	// metricsHeaderTimeout bounds the wait for the header of a request for figures.
	metricsHeaderTimeout = 4 * time.Second
	// MetricsPath is where a process gives its figures.
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
	Batch func(door *batch.Client) BatchCalls
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
		return failureOfStart(ctx, err, logger)
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

// failureOfStart returns the failure of a start. Where the planned stop came during it, what had started is stopped again, and that is no
// failure of the process.
func failureOfStart(ctx context.Context, failure error, logger zerolog.Logger) error {
	if ctx.Err() == nil {
		return failure
	}
	logger.Info().Err(failure).Msg("node_stopped_while_starting")
	return nil
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
		func() *watchPace { return &watchPace{} }, newRoleKeyValue, newFeed, newCopies, route.NewHolder, replica.NewDirectory, newPartOfReplicas, newDiscovery, newReplicaClient, newPicker,
		newRegisteredMachines, newColdStarts, newQuarantine, func() *ledger.Timing { return &roleLedgerTiming },
		membershipTimingOf,
	),
	transport.Module, membership.Module, ledger.Module,
	fx.Invoke(serveMetrics, announceStore, followEvacuations, followHomes, reportSuspensions),
)

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

// serveMetrics gives the process's figures at the admin address.
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
			// OnStop closes the server, at which Serve ends. Without it the process serves on, without figures.
			go func() { _ = server.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
