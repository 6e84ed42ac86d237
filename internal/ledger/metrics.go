package ledger

import "github.com/prometheus/client_golang/prometheus"

// metrics is a prometheus.Collector that reads the ledger's state when it is scraped.
type metrics struct {
	manager    *Manager
	partitions *prometheus.Desc
	fsyncs     *prometheus.Desc
	written    *prometheus.Desc
	failed     *prometheus.Desc
	confined   *prometheus.Desc
	refused    *prometheus.Desc
}

func newMetrics(manager *Manager) *metrics {
	return &metrics{
		manager: manager,
		partitions: prometheus.NewDesc("sloelift_ledger_partitions",
			"Partitions by state: owned here, of these degraded (fewer full members than wanted) or storage_full.", []string{"state"}, nil),
		fsyncs:  prometheus.NewDesc("sloelift_ledger_store_fsyncs_total", "Synced writes of this node's store.", nil, nil),
		written: prometheus.NewDesc("sloelift_ledger_store_written_bytes_total", "Bytes written by this node's store, rewriting counted.", nil, nil),
		confined: prometheus.NewDesc("sloelift_ledger_confined_partitions",
			"Known partitions that are confined to regions: all, of these not_durable (they survive too few losses and take no new records).", []string{"state"}, nil),
		refused: prometheus.NewDesc("sloelift_ledger_no_home_total", "Records that had no place in the regions to which they are confined.", nil, nil),
		failed:  prometheus.NewDesc("sloelift_ledger_store_failed", "1 where this node's store has stopped for a fault of its disk.", nil, nil),
	}
}

// Describe sends all descriptions.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{m.partitions, m.fsyncs, m.written, m.failed, m.confined, m.refused} {
		descriptions <- description
	}
}

// Collect sends the current values.
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
	m.collectConfined(values, gauge)
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

// collectConfined sends the metrics of partitions that are confined to regions.
func (m *metrics) collectConfined(values chan<- prometheus.Metric, gauge func(*prometheus.Desc, float64, ...string)) {
	var all, notDurable float64
	for _, partition := range m.manager.directory.confined() {
		all++
		if !m.manager.durable(partition) {
			notDurable++
		}
	}
	gauge(m.confined, all, "all")
	gauge(m.confined, notDurable, "not_durable")
	values <- prometheus.MustNewConstMetric(m.refused, prometheus.CounterValue, float64(m.manager.unplacedRequests.Load()))
}
