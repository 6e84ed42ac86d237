package coldstart

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Verdicts in the metrics.
const (
	verdictAdmitted = "admitted"
	verdictRefused  = "refused"
)

// metrics count requests to cold replicas and claims of passes.
type metrics struct {
	requests *prometheus.CounterVec
	claims   *prometheus.CounterVec
	cold     prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) metrics {
	created := metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_cold_requests_total", Help: "Requests that were about to go to cold replicas, by verdict.",
		}, []string{"verdict"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_cold_passes_total", Help: "Passes of cold replicas that this node claimed, by verdict.",
		}, []string{"verdict"}),
		cold: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_cold_replicas", Help: "Replicas that count as cold at this node.",
		}),
	}
	registerer.MustRegister(created.requests, created.claims, created.cold)
	return created
}

// refusals counts refused requests between two log lines. It is safe for concurrent use.
type refusals struct {
	mutex    sync.Mutex
	count    int
	loggedAt time.Time
}

func (r *refusals) add() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count++
}

// due returns the refusals since the last log line, or 0 until logInterval has passed.
func (r *refusals) due(now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == 0 || now.Sub(r.loggedAt) < logInterval {
		return 0
	}
	count := r.count
	r.count, r.loggedAt = 0, now
	return count
}

func (s *Service) logRefusals(now time.Time) {
	if count := s.refused.due(now); count > 0 {
		s.logger.Info().Int("refused", count).Int("cold_replicas", len(s.coldReplicas)).Msg("cold_requests_refused")
	}
}
