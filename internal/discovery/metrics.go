package discovery

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what was read of the key-value service.
type Metrics struct {
	unusable prometheus.Counter
}

// NewMetrics registers the counters; the error is that of a second registration.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	metrics := &Metrics{unusable: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sloelift_replica_entries_unusable_total", Help: "Entries read that name no replica to use, each time they were read.",
	})}
	return metrics, registerer.Register(metrics.unusable)
}
