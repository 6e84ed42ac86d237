package job

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/transport"
)

const sliceName = "job"

// Module provides Service, FileStore, session.Claimer and ledger.Factory.
var Module = fx.Module(sliceName,
	fx.Provide(
		newMetrics,
		newDispatcher,
		provideRegistry,
		provideFactory,
		newForwarder,
		provideService,
		provideFileStore,
		provideClaimer,
	),
	fx.Invoke(registerMethods),
)

// provideRegistry creates the registry and starts and stops the dispatcher with the
// process. Partitions that the ledger has not stopped are stopped before the dispatcher,
// which waits for their items.
func provideRegistry(lifecycle fx.Lifecycle, dispatcher *dispatcher, logger zerolog.Logger) *registry {
	partitions := newRegistry(dispatcher, logger.With().Str(logging.FieldSlice, sliceName).Logger())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			dispatcher.start()
			return nil
		},
		OnStop: func(context.Context) error {
			partitions.stop()
			dispatcher.stop()
			return nil
		},
	})
	return partitions
}

func provideFactory(partitions *registry) ledger.Factory { return partitions.factory }

func newForwarder(partitions *registry, locator ledger.Locator, caller transport.Caller) *forwarder {
	return &forwarder{partitions: partitions, locator: locator, caller: caller}
}

func provideService(forwarder *forwarder, configs config.Source) Service {
	return &service{forwarder: forwarder, configs: configs}
}

func provideFileStore(forwarder *forwarder) FileStore { return &fileStore{forwarder: forwarder} }

func provideClaimer(forwarder *forwarder) session.Claimer { return &claimer{forwarder: forwarder} }
