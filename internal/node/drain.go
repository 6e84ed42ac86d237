package node

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// drainer runs the steps of a planned stop in order: unready, streams, partitions, leave.
type drainer struct {
	logger zerolog.Logger
	steps  []drainStep
}

type drainStep struct {
	name string
	run  func(ctx context.Context) error
}

type drainParams struct {
	fx.In

	Logger zerolog.Logger
}

func newDrainer(params drainParams) *drainer {
	return &drainer{logger: params.Logger}
}

// drain runs each step; a step that fails is logged and the next one runs.
func (d *drainer) drain(ctx context.Context) {
	for _, step := range d.steps {
		if err := step.run(ctx); err != nil {
			d.logger.Warn().Err(err).Str("step", step.name).Msg("drain_step_failed")
		}
	}
}
