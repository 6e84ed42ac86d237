package engine

import (
	"context"

	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/network"
)

// Module provides the Client and closes it at the end of the application.
var Module = fx.Module("engine", fx.Provide(provideClient))

func provideClient(lifecycle fx.Lifecycle, via network.Network) Client {
	client := NewHTTPClientOver(via)
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		client.Close()
		return nil
	}})
	return client
}
