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

func newForNode(needed dependencies) (*Service, error) {
	started := uint64(time.Now().UnixMicro())
	network := struct {
		transport.Caller
		transport.Registrar
	}{needed.Caller, needed.Registrar}
	timing := DefaultTiming()
	if needed.Timing != nil {
		timing = *needed.Timing
	}
	service, err := New(Options{
		Self: Member{
			ID:           NodeID(needed.Settings.Node),
			Incarnation:  started,
			Region:       needed.Settings.Region,
			Zone:         needed.Settings.Zone,
			PeerAddress:  needed.Settings.PeerAddress,
			AdminAddress: needed.Settings.AdminAddress,
			Store:        needed.Settings.DataFolder != "",
		},
		Seeds:      needed.Settings.Seeds(),
		Timing:     timing,
		RandomSeed: started,
	}, network, needed.Machines, needed.Registerer, needed.Logger)
	if err != nil {
		return nil, err
	}
	needed.Lifecycle.Append(fx.Hook{
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
