package gateway

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module provides the *Server and runs it.
var Module = fx.Module("gateway", fx.Provide(provideServer), fx.Invoke(func(*Server) {}))

type parameters struct {
	fx.In

	Lifecycle     fx.Lifecycle
	Settings      settings.Settings
	Configuration config.Source
	Runner        session.Runner
	Jobs          job.Service
	Files         job.FileStore
	Registerer    prometheus.Registerer
	Logger        zerolog.Logger
}

func provideServer(p parameters) *Server {
	server := NewServer(Dependencies{
		Address: p.Settings.CallerAddress, Limits: p.Settings.Limits, Configuration: p.Configuration,
		Runner: p.Runner, Jobs: p.Jobs, Files: p.Files, Registerer: p.Registerer, Logger: p.Logger,
	})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return server.Start() },
		OnStop:  server.Stop,
	})
	return server
}
