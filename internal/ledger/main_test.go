package ledger

import (
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

func TestMetricsDescribeWhatTheyCollect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		c.add(true)
		defer c.stopAll()
		c.put(0, "a")
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(newMetrics(c.nodes[0].manager))
		families, err := registry.Gather()
		if err != nil || len(families) != 6 {
			t.Fatalf("%d families: %v", len(families), err)
		}
	})
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
