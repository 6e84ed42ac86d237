package node

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx/fxtest"

	"github.com/sloelift/sloelift/internal/clock/clocktest"
)

// TestSuspensionIsLoggedOnce: each suspension is logged once, so that operators see why leases expired.
func TestSuspensionIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		lifecycle := fxtest.NewLifecycle(t)
		reportSuspensions(lifecycle, prometheus.NewRegistry(), zerolog.New(&output))
		lifecycle.RequireStart()
		clocktest.Suspend(t, 3*time.Second)
		time.Sleep(3 * suspensionCheckInterval)
		lifecycle.RequireStop()
		if lines := strings.Count(output.String(), "machine_suspended"); lines != 1 || !strings.Contains(output.String(), `"suspended":3000`) {
			t.Errorf("%d lines: %s", lines, output.String())
		}
	})
}
