package snapshotcache

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a Cache.
type metrics struct {
	// inUse is the number of prefixes served from a copy. taken counts copies put into use, by source. served counts copies sent to other
	// nodes. saves counts writes of the file, by result.
	inUse  prometheus.Gauge
	taken  *prometheus.CounterVec
	served prometheus.Counter
	saves  *prometheus.CounterVec
}

// Results of a save.
const (
	saveDone   = "done"
	saveFailed = "failed"
)

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		inUse: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_snapshotcache_prefixes_by_copy", Help: "Prefixes of the key-value service that this node knows by a copy only.",
		}),
		taken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_snapshotcache_copies_taken_total", Help: "Copies taken into use, by source.",
		}, []string{"source"}),
		served: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sloelift_snapshotcache_copies_served_total", Help: "Copies handed to other nodes.",
		}),
		saves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_snapshotcache_saves_total", Help: "Writes of the file of copies, by result.",
		}, []string{"result"}),
	}
	for _, collector := range []prometheus.Collector{created.inUse, created.taken, created.served, created.saves} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return created, nil
}
