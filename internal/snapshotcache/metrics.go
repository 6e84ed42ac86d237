package snapshotcache

import "github.com/prometheus/client_golang/prometheus"

// metrics show copies at work.
type metrics struct {
	// inUse is the number of prefixes for which a copy is in use; taken counts copies by source, served answers with copies, saves files
	// by result.
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
	made := &metrics{
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
	for _, collector := range []prometheus.Collector{made.inUse, made.taken, made.served, made.saves} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return made, nil
}
