package ledger

import "github.com/prometheus/client_golang/prometheus"

// metrics reads the ledger's state when it is scraped.
type metrics struct {
	manager    *Manager
	partitions *prometheus.Desc
	fsyncs     *prometheus.Desc
	written    *prometheus.Desc
	failed     *prometheus.Desc
}

func newMetrics(manager *Manager) *metrics {
	return &metrics{
		manager: manager,
		partitions: prometheus.NewDesc("sloelift_ledger_partitions",
			"Partitions by state: owned here, of these degraded (fewer full members than wanted) or storage_full.", []string{"state"}, nil),
		fsyncs:  prometheus.NewDesc("sloelift_ledger_store_fsyncs_total", "Synced writes of this node's store.", nil, nil),
		written: prometheus.NewDesc("sloelift_ledger_store_written_bytes_total", "Bytes written by this node's store, rewriting counted.", nil, nil),
		failed:  prometheus.NewDesc("sloelift_ledger_store_failed", "1 where this node's store has stopped for a fault of its disk.", nil, nil),
	}
}

// Describe sends all descriptions.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{m.partitions, m.fsyncs, m.written, m.failed} {
		descriptions <- description
	}
}

// Collect sends the present values.
func (m *metrics) Collect(values chan<- prometheus.Metric) {
	var owned, degraded, full float64
	for _, status := range m.manager.Status() {
		if !status.Serving {
			continue
		}
		owned++
		if status.Degraded() {
			degraded++
		}
		if status.StorageFull {
			full++
		}
	}
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		values <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	gauge(m.partitions, owned, "owned")
	gauge(m.partitions, degraded, "degraded")
	gauge(m.partitions, full, "storage_full")
	store := m.manager.local
	if store == nil {
		return
	}
	failed := 0.0
	if store.Failed() {
		failed = 1
	}
	gauge(m.failed, failed)
	values <- prometheus.MustNewConstMetric(m.fsyncs, prometheus.CounterValue, float64(store.Fsyncs()))
	values <- prometheus.MustNewConstMetric(m.written, prometheus.CounterValue, float64(store.BytesWritten()))
}
