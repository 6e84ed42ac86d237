package relay

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides config.Source and *Service, and reports the revision in force to the RevisionReporter.
var Module = fx.Module("config-relay", fx.Provide(
	provide,
	func(service *Service) config.Source { return service },
))

type params struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Settings   settings.Settings
	Viewer     membership.Viewer
	Reporter   RevisionReporter
	Caller     transport.Caller
	Registrar  transport.Registrar
	KeyValue   platform.KeyValue
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

func provide(dependencies params) (*Service, error) {
	service, err := New(Options{
		Self: membership.Member{
			ID:          membership.NodeID(dependencies.Settings.Node),
			Region:      dependencies.Settings.Region,
			Zone:        dependencies.Settings.Zone,
			PeerAddress: dependencies.Settings.PeerAddress,
		},
		Viewer:     dependencies.Viewer,
		Caller:     dependencies.Caller,
		KeyValue:   dependencies.KeyValue,
		Reporter:   dependencies.Reporter,
		DataFolder: dependencies.Settings.DataFolder,
		Registerer: dependencies.Registerer,
		Logger:     dependencies.Logger,
	}, dependencies.Registrar)
	if err != nil {
		return nil, err
	}
	dependencies.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			service.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			service.Stop()
			return nil
		},
	})
	return service, nil
}
