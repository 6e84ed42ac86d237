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

// Module provides config.Source and *Service, and tells the revision in force to the RevisionReporter.
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

func provide(given params) (*Service, error) {
	service, err := New(Options{
		Self: membership.Member{
			ID:          membership.NodeID(given.Settings.Node),
			Region:      given.Settings.Region,
			Zone:        given.Settings.Zone,
			PeerAddress: given.Settings.PeerAddress,
		},
		Viewer:     given.Viewer,
		Caller:     given.Caller,
		KeyValue:   given.KeyValue,
		Reporter:   given.Reporter,
		DataFolder: given.Settings.DataFolder,
		Registerer: given.Registerer,
		Logger:     given.Logger,
	}, given.Registrar)
	if err != nil {
		return nil, err
	}
	given.Lifecycle.Append(fx.Hook{
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
