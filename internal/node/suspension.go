package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
)

// suspensionInterval is how often it is looked whether the machine was suspended.
const suspensionInterval = time.Second

// reportSuspensions logs each suspension of the machine and counts their time.
func reportSuspensions(lifecycle fx.Lifecycle, registerer prometheus.Registerer, logger zerolog.Logger) {
	registerer.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "sloelift_machine_suspended_seconds_total", Help: "Time for which the machine was suspended since the process began."},
		func() float64 { return clock.Suspended().Seconds() },
	))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	known := clock.Suspended()
	watch := func() {
		defer close(ended)
		pause.Every(ctx, suspensionInterval, func(time.Time) {
			if suspended := clock.Suspended(); suspended > known {
				logger.Warn().Dur("suspended", suspended-known).Msg("machine_suspended")
				known = suspended
			}
		})
	}
	lifecycle.Append(fx.StartStopHook(func() { go watch() }, func() {
		cancel()
		<-ended
	}))
}
