package batch

import "github.com/prometheus/client_golang/prometheus"

var (
	stalledDescription = prometheus.NewDesc(
		"sloelift_batch_items_stalled", "Items of open jobs that have made nothing for five seconds, by what they wait for.", []string{"reason"}, nil,
	)
	longestDescription = prometheus.NewDesc(
		"sloelift_batch_item_stalled_seconds_max", "The longest time for which an item of an open job has made nothing.", nil, nil,
	)
)

// Describe implements prometheus.Collector.
func (s *Service) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- stalledDescription
	descriptions <- longestDescription
}

// Collect implements prometheus.Collector for the partitions owned by this process.
func (s *Service) Collect(metrics chan<- prometheus.Metric) {
	counts, longest := map[stallReason]int{}, 0.0
	for _, ownedPartition := range s.owned() {
		found := ownedPartition.stalled()
		for reason, count := range found.byReason {
			counts[reason] += count
		}
		longest = max(longest, found.longest.duration.Seconds())
	}
	for _, reason := range stallReasons {
		metrics <- prometheus.MustNewConstMetric(stalledDescription, prometheus.GaugeValue, float64(counts[reason]), string(reason))
	}
	metrics <- prometheus.MustNewConstMetric(longestDescription, prometheus.GaugeValue, longest)
}
