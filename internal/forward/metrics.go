package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the package's Prometheus metrics. All methods are safe for concurrent use.
type Metrics struct {
	outcomes         *prometheus.CounterVec
	firstEvents      *prometheus.HistogramVec
	durations        *prometheus.HistogramVec
	heldTimes        *prometheus.HistogramVec
	noReplicaInHomes *prometheus.CounterVec
	resumed          *prometheus.CounterVec
}

// Who resumed a stream: the edge, within one answer, or the caller, with a request of its own.
const (
	resumedByEdge   = "edge"
	resumedByCaller = "caller"
)

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	metrics := &Metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_forward_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_first_event_seconds", Help: "Time to the first event of a stream.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_duration_seconds", Help: "Time to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"route"}),
		heldTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sloelift_forward_held_seconds", Help: "Time that requests were held back until replicas had room.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}, []string{"route"}),
	}
	metrics.noReplicaInHomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sloelift_forward_no_replica_in_homes_total", Help: "Requests that no replica in their allowed regions could take.",
	}, []string{"route"})
	metrics.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sloelift_forward_resumed_streams_total", Help: "Streams that went on with a further run, by who resumed them.",
	}, []string{"route", "by"})
	for _, collector := range []prometheus.Collector{
		metrics.outcomes, metrics.firstEvents, metrics.durations, metrics.heldTimes, metrics.noReplicaInHomes, metrics.resumed,
	} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return metrics, nil
}

func (m *Metrics) countOutcome(route, outcome string) {
	m.outcomes.WithLabelValues(route, outcome).Inc()
}

// countResumed counts a stream that goes on with a further run.
func (m *Metrics) countResumed(route, resumedBy string) {
	m.resumed.WithLabelValues(route, resumedBy).Inc()
}

// countNoReplicaInHomes counts a request that no replica in its homes can take.
func (m *Metrics) countNoReplicaInHomes(route string) {
	m.noReplicaInHomes.WithLabelValues(route).Inc()
}

func (m *Metrics) observeFirstEvent(route string, after time.Duration) {
	m.firstEvents.WithLabelValues(route).Observe(after.Seconds())
}

func (m *Metrics) observeHeld(route string, held time.Duration) {
	m.heldTimes.WithLabelValues(route).Observe(held.Seconds())
}

func (m *Metrics) observeFinished(route string, delivered bool, after time.Duration) {
	outcome := "delivered"
	if !delivered {
		outcome = "not_delivered"
	}
	m.countOutcome(route, outcome)
	m.durations.WithLabelValues(route).Observe(after.Seconds())
}
