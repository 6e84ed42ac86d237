package node

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/gateway"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/operator"
)

// drainer runs the steps of a graceful stop in order: unready, leave, streams, partitions.
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

	Logger     zerolog.Logger
	Readiness  *operator.Readiness
	Membership *membership.Service
	Gateway    *gateway.Server
	Ledger     *ledger.Manager
}

func newDrainer(params drainParams) *drainer {
	return &drainer{
		logger: params.Logger,
		steps: []drainStep{
			{name: "unready", run: func(context.Context) error {
				params.Readiness.TurnOff(operator.ReasonStopping)
				return nil
			}},
			{name: "leave", run: params.Membership.Leave},
			{name: "streams", run: params.Gateway.Drain},
			{name: "partitions", run: params.Ledger.Handover},
		},
	}
}

// drain runs the steps in order. A failed step is logged and does not stop the following ones.
func (d *drainer) drain(ctx context.Context) {
	for _, step := range d.steps {
		if err := step.run(ctx); err != nil {
			d.logger.Warn().Err(err).Str("step", step.name).Msg("drain_step_failed")
		}
	}
}
