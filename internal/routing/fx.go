package routing

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module provides *Service and Router. It uses DefaultOptions unless *Options is supplied.
var Module = fx.Module("routing", fx.Provide(
	provide,
	func(service *Service) Router { return service },
))

type parameters struct {
	fx.In
	Options    *Options `optional:"true"`
	Settings   settings.Settings
	Fleet      *fleet.Service
	Registerer prometheus.Registerer
	Lifecycle  fx.Lifecycle
}

func provide(in parameters) *Service {
	options := DefaultOptions()
	if in.Options != nil {
		options = *in.Options
	}
	service := New(options, in.Fleet, in.Settings.Region, in.Settings.Zone, in.Registerer)
	if !options.DisableCacheEvents && !options.DisablePrefix {
		in.Fleet.SubscribeCache(func(change fleet.CacheChange) { service.prefix.correct(time.Now(), change) })
	}
	var unsubscribe func()
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			unsubscribe = in.Fleet.Subscribe(service.own.dropUnlisted)
			return nil
		},
		OnStop: func(context.Context) error { unsubscribe(); return nil },
	})
	return service
}
