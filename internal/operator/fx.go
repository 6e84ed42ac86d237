package operator

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module provides *Readiness and *Server and serves the admin address.
var Module = fx.Module("operator",
	fx.Provide(NewReadiness, New),
	fx.Invoke(func(lifecycle fx.Lifecycle, server *Server) {
		lifecycle.Append(fx.Hook{OnStart: server.Start, OnStop: server.Stop})
	}),
)

// Params are the dependencies of the admin interface.
type Params struct {
	fx.In

	Settings   settings.Settings
	Logger     zerolog.Logger
	Gatherer   prometheus.Gatherer
	Registerer prometheus.Registerer
	Network    network.Network
	Store      config.Store
	Readiness  *Readiness
	InForce    config.Source     `optional:"true"`
	Jobs       job.Service       `optional:"true"`
	Members    membership.Viewer `optional:"true"`
	Directory  fleet.Source      `optional:"true"`
	Ledger     *ledger.Manager   `optional:"true"`
	Sections   []StatusSection   `group:"status"`
}

// New returns a Server, which does not listen before Start.
func New(params Params) *Server {
	params.Readiness.inForce = params.InForce
	logger := params.Logger.With().Str(logging.FieldSlice, "operator").Logger()
	reporter := &statusReporter{
		settings:  params.Settings,
		readiness: params.Readiness,
		inForce:   params.InForce,
		members:   params.Members,
		directory: params.Directory,
		sections:  params.Sections,
	}
	if params.Ledger != nil {
		reporter.partitions = params.Ledger
	}
	admin := &handler{
		limits:    params.Settings.Limits,
		store:     params.Store,
		inForce:   params.InForce,
		jobs:      params.Jobs,
		uses:      &usesFinder{directory: params.Directory, jobs: params.Jobs},
		status:    reporter,
		readiness: params.Readiness,
		logger:    logger,
		fileSlots: make(chan struct{}, maxConcurrentFiles),
		metrics:   newChangeMetrics(params.Registerer),
	}
	return newServer(params.Settings, params.Network, admin.routes(params.Gatherer), params.Readiness, logger)
}
