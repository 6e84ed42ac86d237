package quota

import (
	"cmp"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides the Service of an edge.
var Module = fx.Module("quota", fx.Provide(provide))

func provide(lifecycle fx.Lifecycle, own settings.Settings, members *membership.Service, caller transport.Caller, registrar transport.Registrar, registerer prometheus.Registerer, logger zerolog.Logger) *Service {
	service := NewService(allowanceOf(own.Bounds), members, caller, registrar, registerer, logger)
	lifecycle.Append(fx.StopHook(service.Stop))
	return service
}

// allowanceOf takes what the settings name and the defaults for the rest.
func allowanceOf(bounds settings.Bounds) Allowance {
	allowance := DefaultAllowance()
	allowance.Window = cmp.Or(bounds.QuotaWindow, allowance.Window)
	if bounds.QuotaTolerance != nil {
		allowance.Tolerance = *bounds.QuotaTolerance
	}
	if bounds.QuotaSlack != nil {
		allowance.Slack = *bounds.QuotaSlack
	}
	return allowance
}
