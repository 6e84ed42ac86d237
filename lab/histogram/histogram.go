// Package histogram records durations from many goroutines and returns their percentiles.
package histogram

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of values in microseconds, and significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Distribution holds percentiles in milliseconds.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram records durations in microseconds. It is safe for concurrent use.
type Histogram struct {
	mutex  sync.Mutex
	values *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record adds one duration.
func (h *Histogram) Record(value time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// Values are within the range, since runs are shorter than its maximum.
	_ = h.values.RecordValue(max(value.Microseconds(), lowestMicros))
}

// Distribution returns the percentiles so far.
func (h *Histogram) Distribution() Distribution {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	millisAt := func(quantile float64) float64 { return float64(h.values.ValueAtQuantile(quantile)) / 1000 }
	return Distribution{
		Count: h.values.TotalCount(),
		P50:   millisAt(50), P95: millisAt(95), P99: millisAt(99),
		Max: float64(h.values.Max()) / 1000,
	}
}
