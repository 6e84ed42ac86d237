package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count requests. All methods are safe for concurrent use.
type Metrics struct {
	outcomes *prometheus.CounterVec
	first    *prometheus.HistogramVec
	duration *prometheus.HistogramVec
	held     *prometheus.HistogramVec
	homeless *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	metrics := &Metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_forward_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_duration_seconds", Help: "Time to the end of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"route"}),
		held: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_held_seconds", Help: "Time that requests were held back until replicas had room.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"route"}),
	}
	metrics.homeless = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sloelift_forward_no_replica_in_homes_total", Help: "Requests that no replica in their allowed regions could take.",
	}, []string{"route"})
	for _, collector := range []prometheus.Collector{metrics.outcomes, metrics.first, metrics.duration, metrics.held, metrics.homeless} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return metrics, nil
}

func (m *Metrics) outcome(route, outcome string) { m.outcomes.WithLabelValues(route, outcome).Inc() }

// outsideHomes counts a request that no replica in its homes can take.
func (m *Metrics) outsideHomes(route string) { m.homeless.WithLabelValues(route).Inc() }

func (m *Metrics) firstEvent(route string, after time.Duration) {
	m.first.WithLabelValues(route).Observe(after.Seconds())
}

func (m *Metrics) heldBack(route string, held time.Duration) {
	m.held.WithLabelValues(route).Observe(held.Seconds())
}

func (m *Metrics) finished(route string, delivered bool, after time.Duration) {
	outcome := "delivered"
	if !delivered {
		outcome = "not_delivered"
	}
	m.outcome(route, outcome)
	m.duration.WithLabelValues(route).Observe(after.Seconds())
}
