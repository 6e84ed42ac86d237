package placement

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module runs placement. Options are optional and default to DefaultOptions.
var Module = fx.Module("placement", fx.Provide(provide), fx.Invoke(func(*Service) {}))

type parameters struct {
	fx.In
	Options    *Options `optional:"true"`
	Settings   settings.Settings
	Fleet      fleet.Source
	Viewer     membership.Viewer
	Config     config.Source
	Engines    engine.Client
	Store      platform.KeyValue
	Weights    platform.WeightStore
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
	Lifecycle  fx.Lifecycle
}

func provide(in parameters) *Service {
	options := DefaultOptions()
	if in.Options != nil {
		options = *in.Options
	}
	service := NewService(options, Dependencies{
		Node: in.Settings.Node, Fleet: in.Fleet, Viewer: in.Viewer, Config: in.Config, Engines: in.Engines,
		Store: in.Store, Weights: in.Weights, Logger: in.Logger,
	}, in.Registerer)
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { service.Start(); return nil },
		OnStop:  func(context.Context) error { service.Stop(); return nil },
	})
	return service
}
