package job

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of this package.
type metrics struct {
	itemsWaiting   prometheus.Gauge
	itemsRunning   prometheus.Gauge
	itemsCompleted *prometheus.CounterVec
	engineCalls    prometheus.Counter
	jobsAtRisk     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		itemsWaiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_job_items_waiting", Help: "Batch items that wait for a credit on this node."}),
		itemsRunning: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_job_items_running", Help: "Batch items that run from this node."}),
		itemsCompleted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_job_items_completed_total", Help: "Batch items recorded from this node, by outcome.",
		}, []string{"outcome"}),
		engineCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_job_engine_calls_total",
			Help: "Calls to engines for batch items, attaching ones too."}),
		jobsAtRisk: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_job_at_risk_total", Help: "Jobs that were found not to make their deadline."}),
	}
	registerer.MustRegister(m.itemsWaiting, m.itemsRunning, m.itemsCompleted, m.engineCalls, m.jobsAtRisk)
	return m
}
