package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/node"
	internalplatform "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/platform"
)

// platformAdapter returns the adapter to the protocols of the users' platform, from package platform.
func platformAdapter() node.Adapter {
	return node.Adapter{
		Headers: platform.Headers, ReadyPath: platform.PathReady, Translator: platform.Translator{},
		KeyValue: func(exchanger *internalplatform.Exchanger, watchWait func() time.Duration) internalplatform.KeyValue {
			return platform.NewStore(exchanger, watchWait)
		},
		Report: platform.LoadReport,
		Batch:  func(client *batch.Client) node.BatchCalls { return platform.NewBatch(client) },
	}
}

// runRole runs an edge or a storage node. On SIGHUP it reads and checks the settings file again and logs the result;
// the settings of the running process do not change.
func runRole(ctx context.Context, path string, own settings.Settings, logger zerolog.Logger) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go func() {
		for range reloads {
			_, err := settings.Load(path, settings.Overrides{})
			logger.Info().Err(err).Msg("settings_read_again")
		}
	}()
	return node.RunRole(ctx, own, platformAdapter(), logger)
}
