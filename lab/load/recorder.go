package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// Distribution gives percentiles in milliseconds.
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

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

// Record adds one duration.
func (h *Histogram) Record(value time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// A value beyond the range can't be: runs are shorter.
	_ = h.values.RecordValue(max(value.Microseconds(), histogramLowest))
}

// Distribution returns the percentiles so far.
func (h *Histogram) Distribution() Distribution {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at := func(quantile float64) float64 { return float64(h.values.ValueAtQuantile(quantile)) / 1000 }
	return Distribution{
		Count: h.values.TotalCount(),
		P50:   at(50), P95: at(95), P99: at(99),
		Max: float64(h.values.Max()) / 1000,
	}
}

// OnlineOutcome is how an online request ended for its caller.
type OnlineOutcome string

// Outcomes of online requests.
const (
	OnlineCompleted     OnlineOutcome = "completed"
	OnlineRefused       OnlineOutcome = "refused"
	OnlineIndeterminate OnlineOutcome = "indeterminate"
	OnlineFailed        OnlineOutcome = "failed"
	// OnlineCut: the stream ended early and no resend brought the whole answer.
	OnlineCut OnlineOutcome = "cut"
	// OnlineWrong: the stream ended whole with another text than the right one.
	OnlineWrong OnlineOutcome = "wrong"
)

// OnlineResult is what one caller saw.
type OnlineResult struct {
	Arrival  OnlineArrival
	Outcome  OnlineOutcome
	Accepted bool
	// Attempts counts requests sent for it; Cuts counts streams that ended early.
	Attempts int
	Cuts     int
	// NotRunAnswers counts answers that said not_run; Sent counts attempts with any other end.
	NotRunAnswers int
	Sent          int
	Text          string
	Detail        string
	PromptTokens  int
	CachedTokens  int
	// RereadDetail says what was wrong when the answer was asked for again.
	RereadDetail string
}

// JobOutcome is how a job ended for its caller.
type JobOutcome struct {
	Arrival  JobArrival
	ID       string
	Accepted bool
	// ResendMismatch is set where a resend gave another job.
	ResendMismatch bool
	Status         string
	Cancelled      bool
	CancelAcked    time.Time
	AcceptedAt     time.Time
	EndedAt        time.Time
	// Results holds the texts read per item, by custom id; an item with an error has its message in Errors.
	Results map[string][]string
	Errors  map[string]string
	Detail  string
	// RereadDetail says what was wrong when the results were read again.
	RereadDetail string
}

// Observations is all that callers saw in one run.
type Observations struct {
	Started time.Time
	Online  []OnlineResult
	Jobs    []JobOutcome
	// FirstToken and InterToken are of completed online requests; the first token is also
	// given for marked requests, which wait for their claim, and the others apart.
	FirstToken         Distribution
	FirstTokenMarked   Distribution
	FirstTokenUnmarked Distribution
	InterToken         Distribution
}
