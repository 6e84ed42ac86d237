package origin

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics count the records of this node and what becomes of them.
type metrics struct {
	records  prometheus.Gauge
	dropped  prometheus.Counter
	unplaced prometheus.Counter
	finds    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		records: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_origin_records", Help: "Origins of streams that this node keeps.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_origin_dropped_total", Help: "Origins that were not recorded, or only at this node, for lack of room.",
		}),
		unplaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_origin_unplaced_total", Help: "Origins that no other node keeps.",
		}),
		finds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_origin_finds_total", Help: "Searches for the origin of a resumed stream, by result.",
		}, []string{"result"}),
	}
	registerer.MustRegister(created.records, created.dropped, created.unplaced, created.finds)
	return created
}

// countFind counts a search by its result.
func (m *metrics) countFind(err error) {
	result := "found"
	switch {
	case errors.Is(err, ErrUnknown):
		result = "unknown"
	case err != nil:
		result = "unanswered"
	}
	m.finds.WithLabelValues(result).Inc()
}
