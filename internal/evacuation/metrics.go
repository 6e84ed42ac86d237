package evacuation

import "github.com/prometheus/client_golang/prometheus"

// Metrics exports which zones are evacuated as far as this process knows. It is safe for concurrent use.
type Metrics struct{ evacuated *prometheus.GaugeVec }

// NewMetrics returns Metrics registered with registerer, or the error of the registration.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	metrics := &Metrics{evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "sloelift_evacuation_zone", Help: "1 for a zone whose replicas get nothing more, 0 for one that was taken back.",
	}, []string{"zone"})}
	if err := registerer.Register(metrics.evacuated); err != nil {
		return nil, err
	}
	return metrics, nil
}

func (m *Metrics) set(zone string, evacuated bool) {
	value := 0.0
	if evacuated {
		value = 1
	}
	m.evacuated.WithLabelValues(zone).Set(value)
}
