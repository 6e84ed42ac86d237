package fleet

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides *Service, Source and Reporter. Options may be supplied.
var Module = fx.Module("fleet", fx.Provide(
	provide,
	func(service *Service) Source { return service },
	func(service *Service) Reporter { return service },
), fx.Invoke(func(*Service) {}))

type parameters struct {
	fx.In
	Options   *Options `optional:"true"`
	Settings  settings.Settings
	Machines  platform.MachineList
	Viewer    membership.Viewer
	Engines   engine.Client
	Caller    transport.Caller
	Registrar transport.Registrar
	Logger    zerolog.Logger
	Lifecycle fx.Lifecycle
}

func provide(in parameters) *Service {
	options := DefaultOptions()
	if in.Options != nil {
		options = *in.Options
	}
	service := NewService(options, in.Settings, in.Machines, in.Viewer, in.Engines, in.Caller, in.Logger)
	service.Register(in.Registrar)
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { service.Start(); return nil },
		OnStop:  func(context.Context) error { service.Stop(); return nil },
	})
	return service
}

// Register registers the handlers for messages from other nodes.
func (s *Service) Register(registrar transport.Registrar) {
	empty := &fleetpb.LeavingNotice{}
	transport.Handle(registrar, methodLoadDelta, func() *fleetpb.LoadDelta { return &fleetpb.LoadDelta{} },
		func(_ context.Context, _ netip.AddrPort, delta *fleetpb.LoadDelta) (*fleetpb.LeavingNotice, error) {
			s.push(deltaReceived{delta: delta})
			return empty, nil
		})
	transport.Handle(registrar, methodLeavingNotice, func() *fleetpb.LeavingNotice { return &fleetpb.LeavingNotice{} },
		func(_ context.Context, _ netip.AddrPort, notice *fleetpb.LeavingNotice) (*fleetpb.LeavingNotice, error) {
			s.push(noticeReceived{notice: notice})
			return empty, nil
		})
	transport.Handle(registrar, methodCacheDelta, func() *fleetpb.CacheDelta { return &fleetpb.CacheDelta{} },
		func(_ context.Context, _ netip.AddrPort, delta *fleetpb.CacheDelta) (*fleetpb.LeavingNotice, error) {
			s.cache.onDelta(delta)
			return empty, nil
		})
}
