package engine

import (
	"context"

	"go.uber.org/fx"
)

// Module provides the Client.
var Module = fx.Module("engine", fx.Provide(provideClient))

func provideClient(lifecycle fx.Lifecycle) Client {
	client := NewHTTPClient()
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		client.Close()
		return nil
	}})
	return client
}
