package node

import (
	"context"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/edge"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

func newBatchCalls(adapter Adapter, locator ledger.Locator, homes ledger.ConfinedLocator, caller transport.Caller, registrar transport.Registrar, members *membership.Service, logger zerolog.Logger) BatchCalls {
	return adapter.Batch(batch.NewClient(locator, homes, caller, registrar, members, logger))
}

// newGate holds online requests back while all nodes' callers want more than the replicas have.
func newGate(directory *replica.Directory, shared *loadshare.Service) *forward.Gate {
	gate := forward.NewGate(directory, shared)
	shared.SetDemands(gate.Demands, gate.DemandChanged)
	return gate
}

func newForwardHandler(own settings.Settings, routes *route.Holder, directory *replica.Directory, picker *balance.Picker, client *replica.Client, gate *forward.Gate, limits *quota.Service, coldStarts *coldstart.Service, register *quarantine.Service, shared *loadshare.Service, calls BatchCalls, logger zerolog.Logger, metrics *forward.Metrics) *forward.Handler {
	return forward.NewHandler(forward.Options{
		Routes: routes, Directory: directory, Picker: picker, Client: client, Zone: own.Zone, Batch: calls, Gate: gate, Quota: limits, ColdStarts: coldStarts, Refresh: shared.Refresh,
		Quarantine: register, Logger: logger, Metrics: metrics,
	})
}

func newEdgeServer(lifecycle fx.Lifecycle, own settings.Settings, adapter Adapter, handler *forward.Handler, calls BatchCalls, _ *discovery.Service, via network.Network, logger zerolog.Logger) *edge.Server {
	server := edge.NewServer(edge.Options{
		Handler: handler, Logger: logger, Network: via, Grace: own.Bounds.Grace, FileDescriptors: own.Limits.FileDescriptors,
		Addresses: edge.Addresses{Callers: own.CallerAddress, Readiness: own.ReadinessAddress, ReadyPath: adapter.ReadyPath},
		AddRoutes: func(router *mux.Router) { calls.Register(router, handler.AuthenticateJobCall) },
	})
	lifecycle.Append(fx.Hook{OnStart: server.Start, OnStop: func(ctx context.Context) error {
		server.Stop(ctx)
		return nil
	}})
	return server
}

// noFactory is the factory of a process that never owns a partition.
func noFactory() ledger.Factory {
	return func(ledger.PartitionID) ledger.StateMachine { panic("an edge owns no partition") }
}
