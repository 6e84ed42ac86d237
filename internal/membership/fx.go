package membership

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides the membership service and starts it.
var Module = fx.Module("membership",
	fx.Provide(
		newForNode,
		func(service *Service) Viewer { return service },
	),
	fx.Invoke(func(*Service) {}),
)

type dependencies struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Settings   settings.Settings
	Timing     *Timing `optional:"true"`
	Caller     transport.Caller
	Registrar  transport.Registrar
	Machines   platform.MachineList
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

func newForNode(deps dependencies) (*Service, error) {
	started := uint64(time.Now().UnixMicro())
	network := struct {
		transport.Caller
		transport.Registrar
	}{deps.Caller, deps.Registrar}
	timing := DefaultTiming()
	if deps.Timing != nil {
		timing = *deps.Timing
	}
	service, err := New(Options{
		Self: Member{
			ID:           NodeID(deps.Settings.Node),
			Incarnation:  started,
			Region:       deps.Settings.Region,
			Zone:         deps.Settings.Zone,
			PeerAddress:  deps.Settings.PeerAddress,
			AdminAddress: deps.Settings.AdminAddress,
			Store:        deps.Settings.DataFolder != "",
		},
		Seeds:      deps.Settings.Seeds(),
		Timing:     timing,
		RandomSeed: started,
	}, network, deps.Machines, deps.Registerer, deps.Logger)
	if err != nil {
		return nil, err
	}
	deps.Lifecycle.Append(fx.Hook{
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
