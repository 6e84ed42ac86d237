package session

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/puzpuzpuz/xsync/v4"

	"github.com/sloelift/sloelift/internal/outcome"
)

// Causes of a retry, values of the label "cause" of the retries metric.
const (
	retryNotSent  = "not_sent"
	retryRefused  = "refused"
	retryReattach = "reattach"
	retryResume   = "resume"
	retryRestart  = "restart"
)

// metrics holds the metrics of online requests, by service.
type metrics struct {
	firstToken *prometheus.HistogramVec
	interToken *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	outcomes   *prometheus.CounterVec
	running    *prometheus.GaugeVec
	services   *xsync.Map[string, *serviceMetrics]
}

// serviceMetrics holds the metrics of one service, so that their labels are looked up once.
type serviceMetrics struct {
	firstToken prometheus.Observer
	interToken prometheus.Observer
	running    prometheus.Gauge
	completed  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sloelift_session_first_token_seconds",
			Help:    "Time from acceptance to the first token of online requests.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"service"}),
		interToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sloelift_session_inter_token_seconds",
			Help:    "Time between chunks divided by their tokens.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_session_retries_total",
			Help: "Further attempts of online requests, by cause.",
		}, []string{"service", "cause"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_session_outcomes_total",
			Help: "Ended online requests.",
		}, []string{"service", "outcome", "reason"}),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sloelift_session_running",
			Help: "Online requests in progress on this node.",
		}, []string{"service"}),
		services: xsync.NewMap[string, *serviceMetrics](),
	}
	registerer.MustRegister(m.firstToken, m.interToken, m.retries, m.outcomes, m.running)
	return m
}

func (m *metrics) service(name string) *serviceMetrics {
	found, _ := m.services.LoadOrCompute(name, func() (*serviceMetrics, bool) {
		return &serviceMetrics{
			firstToken: m.firstToken.WithLabelValues(name),
			interToken: m.interToken.WithLabelValues(name),
			running:    m.running.WithLabelValues(name),
			completed:  m.outcomes.WithLabelValues(name, string(outcome.Completed), ""),
		}, false
	})
	return found
}

func (m *metrics) retry(service, cause string) { m.retries.WithLabelValues(service, cause).Inc() }

func (m *metrics) requestEnded(service string, err error) {
	if err == nil {
		m.service(service).completed.Inc()
		return
	}
	failure := outcome.As(err)
	m.outcomes.WithLabelValues(service, string(failure.Outcome), string(failure.Reason)).Inc()
}

// tokenClock measures the time to the first token and the inter-token times of one request.
type tokenClock struct {
	metrics *serviceMetrics
	last    time.Time
	started bool
}

func (c *tokenClock) observe(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	elapsed := now.Sub(c.last).Seconds()
	c.last = now
	if !c.started {
		c.started = true
		c.metrics.firstToken.Observe(elapsed)
		return
	}
	c.metrics.interToken.Observe(elapsed / float64(tokens))
}
