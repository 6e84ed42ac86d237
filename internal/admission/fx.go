package admission

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides Limiter and CreditSource. It uses DefaultOptions unless *Options is supplied.
var Module = fx.Module("admission", fx.Provide(
	provideLimiter,
	provideCredits,
	func(limiter *RequestLimiter) Limiter { return limiter },
	func(credits *CreditService) CreditSource { return credits },
), fx.Invoke(func(*CreditService, *RequestLimiter) {}))

type parameters struct {
	fx.In
	Options    *Options `optional:"true"`
	Settings   settings.Settings
	Fleet      *fleet.Service
	Router     *routing.Service
	Viewer     membership.Viewer
	Config     config.Source
	Caller     transport.Caller
	Registrar  transport.Registrar
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
	Lifecycle  fx.Lifecycle
}

func provideLimiter(in parameters) *RequestLimiter {
	limiter := NewRequestLimiter(in.Router, in.Registerer)
	var unsubscribe func()
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			unsubscribe = in.Fleet.Subscribe(func(*fleet.Directory) { limiter.Refresh() })
			return nil
		},
		OnStop: func(context.Context) error { unsubscribe(); return nil },
	})
	return limiter
}

func provideCredits(in parameters) *CreditService {
	options := DefaultOptions()
	if in.Options != nil {
		options = *in.Options
	}
	service := NewCreditService(options, in.Settings, in.Fleet, in.Router, in.Viewer, in.Config, in.Caller,
		in.Registerer, in.Logger)
	service.Register(in.Registrar)
	in.Router.ObserveOnline(service.onlineStarted)
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { service.Start(); return nil },
		OnStop:  func(context.Context) error { service.Stop(); return nil },
	})
	return service
}
