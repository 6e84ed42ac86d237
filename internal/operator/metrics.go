package operator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/outcome"
)

// changeMetrics counts the changes of the configuration through this node, by outcome.
type changeMetrics struct {
	changes *prometheus.CounterVec
}

func newChangeMetrics(registerer prometheus.Registerer) *changeMetrics {
	metrics := &changeMetrics{changes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sloelift_config_changes_total",
		Help: "Files applied and declarations withdrawn through this node, by outcome.",
	}, []string{"outcome"})}
	for _, result := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Indeterminate} {
		metrics.changes.WithLabelValues(string(result))
	}
	registerer.MustRegister(metrics.changes)
	return metrics
}

// count counts the end of one change. An error that means that nothing was changed
// counts as NotRun.
func (m *changeMetrics) count(err error) {
	result := outcome.Completed
	if err != nil {
		_, detail := describeError(err)
		result = detail.Outcome
	}
	if result == outcome.Failed {
		result = outcome.NotRun
	}
	m.changes.WithLabelValues(string(result)).Inc()
}
