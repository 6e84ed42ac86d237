package node

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/settings"
)

// Run starts a node, waits until ctx ends, and stops it gracefully.
func Run(ctx context.Context, nodeSettings settings.Settings, logger zerolog.Logger) error {
	running, err := New(nodeSettings, logger)
	if err != nil {
		return err
	}
	if err := running.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return running.Stop(context.WithoutCancel(ctx))
}
