package session

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/routing"
)

// Module provides the Runner.
var Module = fx.Module("session", fx.Provide(provideRunner))

type parameters struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Limiter    admission.Limiter
	Router     routing.Router
	Client     engine.Client
	Fleet      fleet.Source
	Reporter   fleet.Reporter
	Claimer    Claimer
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

func provideRunner(p parameters) Runner {
	runner := NewEngineRunner(Dependencies{
		Limiter: p.Limiter, Router: p.Router, Client: p.Client, Fleet: p.Fleet, Reporter: p.Reporter,
		Claimer: p.Claimer, Registerer: p.Registerer, Logger: p.Logger,
	})
	p.Lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		runner.Wait()
		return nil
	}})
	return runner
}
