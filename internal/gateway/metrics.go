package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/outcome"
)

// metrics holds the metrics of the gateway.
type metrics struct {
	errors *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, s *Server) *metrics {
	m := &metrics{errors: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sloelift_gateway_errors_total",
		Help: "Error answers to callers.",
	}, []string{"outcome", "code"})}
	connections := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sloelift_gateway_connections",
		Help: "Open connections of callers.",
	}, func() float64 { return float64(s.connections()) })
	requests := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sloelift_gateway_requests_running",
		Help: "Requests of callers in progress, files and batches among them.",
	}, func() float64 { return float64(s.drain.count()) })
	registerer.MustRegister(m.errors, connections, requests)
	return m
}

func (m *metrics) countError(err error) {
	failure := outcome.As(err)
	m.errors.WithLabelValues(string(failure.Outcome), string(failure.Reason)).Inc()
}
