package ledger

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Module provides *Disk, *Manager, Locator and ConfinedLocator. It requires a Factory, which must not depend on a Locator.
var Module = fx.Module("ledger",
	fx.Provide(
		NewDisk,
		newManagerForNode,
		func(manager *Manager) Locator { return manager },
		func(manager *Manager) ConfinedLocator { return manager },
	),
	fx.Invoke(func(*Manager) {}),
)

// Disk is the node's store; Store is nil on a node without a data folder.
type Disk struct{ Store *store.Store }

// Incarnation returns the ID of the disk's content, or an empty string on a node without a data folder.
func (d *Disk) Incarnation() string {
	if d.Store == nil {
		return ""
	}
	return string(d.Store.ID())
}

// NewDisk opens the store below the data folder. It is separate from the Manager so that the store's incarnation is
// known before the node announces itself to others.
func NewDisk(lifecycle fx.Lifecycle, node settings.Settings, logger zerolog.Logger) (*Disk, error) {
	if node.DataFolder == "" {
		return &Disk{}, nil
	}
	if err := os.MkdirAll(node.DataFolder, 0o750); err != nil {
		return nil, fmt.Errorf("create the data folder: %w", err)
	}
	options := store.Options{Logger: logger.With().Str(logging.FieldSlice, "ledger").Logger(), DiskBytes: uint64(node.Limits.DiskMegabytes) << 20}
	opened, err := store.Open(node.DataFolder, options)
	if errors.Is(err, syscall.EAGAIN) {
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", node.DataFolder, err)
	}
	if err != nil {
		return nil, fmt.Errorf("open the ledger's store in data folder %s: %w", node.DataFolder, err)
	}
	lifecycle.Append(fx.StopHook(opened.Close))
	return &Disk{Store: opened}, nil
}

type managerParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings.Settings
	Timing    *Timing `optional:"true"`
	Logger    zerolog.Logger
	Metrics   prometheus.Registerer
	Disk      *Disk
	Caller    transport.Caller
	Registry  transport.Registrar
	KeyValue  platform.KeyValue
	Viewer    membership.Viewer
	Factory   Factory
}

func newManagerForNode(params managerParams) (*Manager, error) {
	if params.Factory == nil {
		return nil, errors.New("ledger: no state machine factory")
	}
	timing := DefaultTiming()
	if params.Timing != nil {
		timing = *params.Timing
	}
	manager := NewManager(Dependencies{
		Settings: params.Settings, Timing: timing, Logger: params.Logger, Local: params.Disk.Store,
		Caller: params.Caller, Registry: params.Registry, KeyValue: params.KeyValue, Viewer: params.Viewer, Factory: params.Factory,
	})
	if err := params.Metrics.Register(newMetrics(manager)); err != nil {
		return nil, err
	}
	params.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			manager.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			manager.Stop()
			return nil
		},
	})
	return manager, nil
}
