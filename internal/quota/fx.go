package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides an edge's Service.
var Module = fx.Module("quota", fx.Provide(provide))

func provide(
	lifecycle fx.Lifecycle, config settings.Settings, members *membership.Service, caller transport.Caller, registrar transport.Registrar,
	registerer prometheus.Registerer, logger zerolog.Logger,
) *Service {
	service := NewService(
		Allowance{Window: config.Bounds.QuotaWindow, Tolerance: config.Bounds.QuotaTolerance, Slack: config.Bounds.QuotaSlack},
		members, caller, registrar, registerer, logger,
	)
	lifecycle.Append(fx.StopHook(service.Stop))
	return service
}
