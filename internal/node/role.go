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
	"github.com/sloelift/sloelift/internal/origin"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/retirement"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// memoryLimitFraction is the fraction of the process's memory set as the Go runtime's soft memory limit, near which the garbage
	// collector works hardest.
	memoryLimitFraction = 0.75
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 60
	// metricsHeaderTimeout bounds the reading of the header of a request for metrics.
	metricsHeaderTimeout = 4 * time.Second
	// MetricsPath is the path at which a process serves its metrics.
	MetricsPath = "/metrics"
)

// Adapter translates between the platform on which the processes run and the product's types.
type Adapter struct {
	Headers    replica.Headers
	ReadyPath  string
	Translator Translator
	// KeyValue returns the port to the platform's key-value service; watchWait returns how long a watch call may be held.
	KeyValue func(exchanger *platform.Exchanger, watchWait func() time.Duration) platform.KeyValue
	// Report defines how replicas report their load.
	Report replica.LoadReport
	// Batch returns the HTTP calls about batch jobs.
	Batch func(client *batch.Client) BatchCalls
}

// Translator decodes and encodes the entries of the key-value service.
type Translator interface {
	discovery.Translator
	retirement.Translator
	evacuation.Translator
}

// BatchCalls are the HTTP calls about batch jobs.
type BatchCalls interface {
	forward.BatchSubmitter
	// Register adds the calls other than submissions, each wrapped by authenticate.
	Register(router *mux.Router, authenticate func(forward.JobCall) http.HandlerFunc)
}

// RunRole runs an edge or a storage node until ctx ends, and stops it gracefully.
func RunRole(ctx context.Context, nodeSettings settings.Settings, adapter Adapter, logger zerolog.Logger) error {
	limitMemory(nodeSettings.Limits.MemoryMegabytes)
	logger = logger.With().Str(logging.FieldNode, nodeSettings.Node).Str(logging.FieldZone, nodeSettings.Zone).Logger()
	registry := prometheus.NewRegistry()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.Supply(nodeSettings, adapter, logger),
		fx.Provide(
			func() network.Network { return network.System{} },
			func() prometheus.Registerer { return registry },
			func() prometheus.Gatherer { return registry },
		),
		sharedSlices,
		roleSlices(nodeSettings.Role),
	)
	if err := app.Err(); err != nil {
		return err
	}
	startContext, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		return startError(ctx, err, logger)
	}
	logger.Info().Str("role", string(nodeSettings.Role)).Int("process", os.Getpid()).Msg("node_started")
	<-ctx.Done()
	logger.Info().Msg("node_stopping")
	stopContext, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	err := app.Stop(stopContext)
	logger.Info().Err(err).Msg("node_stopped")
	return err
}

// startError returns the error of a failed start, or nil if ctx ended during the start: then fx has stopped what had started, and the
// process was stopped as requested.
func startError(ctx context.Context, failure error, logger zerolog.Logger) error {
	if ctx.Err() == nil {
		return failure
	}
	logger.Info().Err(failure).Msg("node_stopped_while_starting")
	return nil
}

// limitMemory configures the garbage collector for a process with so many megabytes of memory; 0 sets no limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * memoryLimitFraction))
	}
}

// sharedSlices holds the slices of all roles.
var sharedSlices = fx.Options(
	fx.Provide(
		func() *servicePolicy { return &servicePolicy{} }, newExchanger, newRoleKeyValue, newFeed, newSnapshotCache, route.NewHolder, replica.NewDirectory,
		newReplicaSubset, newDiscovery, newReplicaClient, newPicker,
		newRegisteredMachines, newColdStarts, newQuarantine, newOrigins, func() *ledger.Timing { return &roleLedgerTiming },
		membershipTimingOf,
	),
	transport.Module, membership.Module, ledger.Module,
	fx.Invoke(serveMetrics, announceStore, followEvacuations, followBatchRegions, reportSuspensions, func(*origin.Service) {}),
)

// roleSlices returns the slices that only nodes of role have.
func roleSlices(role settings.Role) fx.Option {
	if role == settings.RoleStorage {
		return fx.Options(
			fx.Provide(newBatchService, newLoadShare(loadsharepb.Kind_KIND_BATCH), func(service *batch.Service) ledger.Factory { return service.Factory() }),
			fx.Invoke(followRetirements, yieldToOnline, followHomes),
		)
	}
	return fx.Options(
		fx.Provide(newLoadShare(loadsharepb.Kind_KIND_ONLINE), newGate, forward.NewMetrics, newBatchCalls, newForwardHandler, newEdgeServer,
			newEdgePartitionFactory),
		quota.Module,
		fx.Invoke(func(*edge.Server) {}),
	)
}

// serveMetrics serves the process's metrics at the admin address.
func serveMetrics(lifecycle fx.Lifecycle, nodeSettings settings.Settings, gatherer prometheus.Gatherer, via network.Network) {
	router := mux.NewRouter()
	router.Handle(MetricsPath, promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: router, ReadHeaderTimeout: metricsHeaderTimeout, ErrorLog: logging.Discard()}
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := via.Listen(ctx, nodeSettings.AdminAddress)
			if err != nil {
				return err
			}
			// Serve ends when OnStop closes the server. If it fails earlier, the process continues without metrics.
			go func() { _ = server.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
