package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/settings"
)

// Timeouts of starting, stopping and killing a node. They exclude draining, which settings.Limits.DrainTimeout bounds.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 15 * time.Second
	killTimeout  = 15 * time.Second
)

// Node is one node. Several can run in one process.
type Node struct {
	app     *fx.App
	logger  zerolog.Logger
	drainer *drainer
	limits  settings.Limits
}

// Option configures New.
type Option func(*options)

type options struct {
	network network.Network
	extra   []fx.Option
}

// WithNetwork replaces the operating system's network.
func WithNetwork(replacement network.Network) Option {
	return func(o *options) { o.network = replacement }
}

// WithFx adds fx options, for example a decorator that changes a slice's policy.
func WithFx(extra ...fx.Option) Option {
	return func(o *options) { o.extra = append(o.extra, extra...) }
}

// New wires a node from its settings. It does not listen before Start.
func New(nodeSettings settings.Settings, logger zerolog.Logger, choices ...Option) (*Node, error) {
	chosen := options{network: network.System{}}
	for _, choice := range choices {
		choice(&chosen)
	}
	logger = logger.With().Str(logging.FieldNode, nodeSettings.Node).Str(logging.FieldZone, nodeSettings.Zone).Logger()
	registry := prometheus.NewRegistry()
	created := &Node{logger: logger, limits: nodeSettings.Limits}
	created.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(nodeSettings, logger),
		fx.Provide(
			func() network.Network { return chosen.network },
			func() prometheus.Registerer { return registry },
			func() prometheus.Gatherer { return registry },
		),
		Slices,
		fx.Provide(newDrainer),
		fx.Populate(&created.drainer),
		fx.Options(chosen.extra...),
	)
	if err := created.app.Err(); err != nil {
		return nil, err
	}
	return created, nil
}

// Start starts the node's slices, within startTimeout. It does not wait for the key-value service.
func (n *Node) Start(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.app.Start(bounded); err != nil {
		return err
	}
	n.logger.Info().Msg("node_started")
	return nil
}

// Stop stops the node gracefully: the node becomes unready, leaves the membership, lets streams
// finish and hands over its partitions, all within settings.Limits.DrainTimeout; then all slices stop.
func (n *Node) Stop(ctx context.Context) error {
	n.logger.Info().Msg("node_stopping")
	drainContext, cancelDrain := context.WithTimeout(ctx, n.limits.DrainTimeout)
	n.drainer.drain(drainContext)
	cancelDrain()
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := n.app.Stop(bounded); err != nil {
		return err
	}
	n.logger.Info().Msg("node_stopped")
	return nil
}

// Kill stops the node without drain or handover, to simulate the death of its machine. The caller
// must sever its network first, so that other nodes see none of its remaining actions. Kill returns
// when the data folder is closed and can be opened again, or after killTimeout.
func (n *Node) Kill() {
	bounded, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	n.logger.Info().Err(n.app.Stop(bounded)).Msg("node_killed")
}
