package transport

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module provides the TCP transport as Caller and Registrar.
var Module = fx.Module("transport",
	fx.Provide(
		provideTCP,
		func(tcp *TCP) Caller { return tcp },
		func(tcp *TCP) Registrar { return tcp },
	),
)

func provideTCP(
	lifecycle fx.Lifecycle,
	node settings.Settings,
	via network.Network,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) (*TCP, error) {
	tcp, err := NewTCPOver(via, node.Node, node.PeerAddress, registerer, logger)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return tcp.Start() },
		OnStop: func(context.Context) error {
			tcp.Stop()
			return nil
		},
	})
	return tcp, nil
}
