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

// suspensionCheckInterval is the interval of the checks whether the machine was suspended.
const suspensionCheckInterval = time.Second

// reportSuspensions logs each suspension of the machine and exports their total duration as a counter.
func reportSuspensions(lifecycle fx.Lifecycle, registerer prometheus.Registerer, logger zerolog.Logger) {
	registerer.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "sloelift_machine_suspended_seconds_total", Help: "Time for which the machine was suspended since the process began."},
		func() float64 { return clock.Suspended().Seconds() },
	))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	reported := clock.Suspended()
	poll := func() {
		defer close(done)
		pause.Every(ctx, suspensionCheckInterval, func(time.Time) {
			if suspended := clock.Suspended(); suspended > reported {
				logger.Warn().Dur("suspended", suspended-reported).Msg("machine_suspended")
				reported = suspended
			}
		})
	}
	lifecycle.Append(fx.StartStopHook(func() { go poll() }, func() {
		cancel()
		<-done
	}))
}
