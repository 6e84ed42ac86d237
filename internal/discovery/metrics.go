package discovery

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of reading the key-value service.
type Metrics struct {
	unusable prometheus.Counter
}

// NewMetrics registers the metrics. It fails if they are already registered.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	metrics := &Metrics{unusable: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sloelift_replica_entries_unusable_total", Help: "Entries read that name no replica to use, each time they were read.",
	})}
	return metrics, registerer.Register(metrics.unusable)
}
