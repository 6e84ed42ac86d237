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
			Name: "sloelift_job_items_waiting", Help: "Batch items waiting for a credit on this node."}),
		itemsRunning: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_job_items_running", Help: "Batch items dispatched by this node and running."}),
		itemsCompleted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_job_items_completed_total", Help: "Batch item results recorded by this node, by outcome.",
		}, []string{"outcome"}),
		engineCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_job_engine_calls_total",
			Help: "Engine calls for batch items, including calls that attach to an earlier run."}),
		jobsAtRisk: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_job_at_risk_total", Help: "Times that a job became at risk of missing its deadline."}),
	}
	registerer.MustRegister(m.itemsWaiting, m.itemsRunning, m.itemsCompleted, m.engineCalls, m.jobsAtRisk)
	return m
}
