package relay

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	revision prometheus.Gauge
	pulls    prometheus.Counter
	problems *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_config_revision", Help: "Revision of the configuration in force on this node.",
		}),
		pulls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_config_pulls_total", Help: "Pulls of missing configuration from peers.",
		}),
		problems: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_config_problems_total", Help: "What went wrong in the spread of the configuration, by problem.",
		}, []string{"problem"}),
	}
	for _, collector := range []prometheus.Collector{created.revision, created.pulls, created.problems} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return created, nil
}
