package node

import (
	"context"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/edge"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/origin"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

func newBatchCalls(
	adapter Adapter,
	locator ledger.Locator,
	confined ledger.ConfinedLocator,
	caller transport.Caller,
	registrar transport.Registrar,
	members *membership.Service,
	logger zerolog.Logger,
) BatchCalls {
	return adapter.Batch(batch.NewClient(locator, confined, caller, registrar, members, logger))
}

// newGate returns the gate that queues online requests while the demand at all nodes exceeds the replicas' capacity.
func newGate(directory *replica.Directory, shared *loadshare.Service) *forward.Gate {
	gate := forward.NewGate(directory, shared)
	shared.SetDemands(gate.Demands, gate.DemandChanged)
	return gate
}

func newForwardHandler(
	nodeSettings settings.Settings,
	adapter Adapter,
	routes *route.Holder,
	directory *replica.Directory,
	picker *balance.Picker,
	client *replica.Client,
	gate *forward.Gate,
	limits *quota.Service,
	coldStarts *coldstart.Service,
	register *quarantine.Service,
	origins *origin.Service,
	feed *changefeed.Feed,
	replicas *discovery.Service,
	shared *loadshare.Service,
	calls BatchCalls,
	logger zerolog.Logger,
	metrics *forward.Metrics,
) *forward.Handler {
	return forward.NewHandler(forward.Options{
		Routes: routes, Directory: directory, Picker: picker, Client: client, Zone: nodeSettings.Zone, Batch: calls, Gate: gate,
		Quota: limits, ColdStarts: coldStarts, Refresh: shared.Refresh,
		Quarantine: register, Origins: origins, ListCurrent: feed.Current, Versions: replicas,
		Report: adapter.Report, Logger: logger, Metrics: metrics,
	})
}

func newEdgeServer(
	lifecycle fx.Lifecycle,
	nodeSettings settings.Settings,
	adapter Adapter,
	handler *forward.Handler,
	calls BatchCalls,
	_ *discovery.Service,
	via network.Network,
	logger zerolog.Logger,
) *edge.Server {
	server := edge.NewServer(edge.Options{
		Handler: handler, Logger: logger, Network: via, Grace: nodeSettings.Bounds.Grace, FileDescriptors: nodeSettings.Limits.FileDescriptors,
		Addresses: edge.Addresses{Callers: nodeSettings.CallerAddress, Readiness: nodeSettings.ReadinessAddress, ReadyPath: adapter.ReadyPath},
		AddRoutes: func(router *mux.Router) { calls.Register(router, handler.AuthenticateJobCall) },
	})
	lifecycle.Append(fx.Hook{OnStart: server.Start, OnStop: func(ctx context.Context) error {
		server.Stop(ctx)
		return nil
	}})
	return server
}

// newEdgePartitionFactory returns the partition factory of edges, which never own a partition: calling it panics.
func newEdgePartitionFactory() ledger.Factory {
	return func(ledger.PartitionID) ledger.StateMachine { panic("an edge owns no partition") }
}
