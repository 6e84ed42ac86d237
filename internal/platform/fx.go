package platform

import (
	"context"

	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/settings"
)

// Module provides KeyValue, MachineList and WeightStore from the settings. They
// connect on first use, so that a node can start while the platform is down.
var Module = fx.Module("platform",
	fx.Provide(provideKeyValue, provideMachineList, provideWeightStore),
)

func provideKeyValue(lifecycle fx.Lifecycle, node settings.Settings, dialer network.Network) KeyValue {
	adapter := NewKeyValueHTTP(dialer, node.Platform.KeyValue, node.Platform.KeyValueRequestsPerSecond)
	closeAtStop(lifecycle, adapter.Close)
	return adapter
}

func provideMachineList(lifecycle fx.Lifecycle, node settings.Settings, dialer network.Network) MachineList {
	adapter := NewMachineListHTTP(dialer, node.Platform.MachineList)
	closeAtStop(lifecycle, adapter.Close)
	return adapter
}

func provideWeightStore(lifecycle fx.Lifecycle, node settings.Settings, dialer network.Network) WeightStore {
	adapter := NewWeightStoreHTTP(dialer, node.Platform.WeightStore)
	closeAtStop(lifecycle, adapter.Close)
	return adapter
}

func closeAtStop(lifecycle fx.Lifecycle, closeAdapter func()) {
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		closeAdapter()
		return nil
	}})
}
