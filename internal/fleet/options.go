package fleet

import "time"

// Options are the rates of the fleet slice. Intervals grow with the size of the
// fleet so that what a node sends and hears stays within the byte budgets.
type Options struct {
	// ListInterval is the least time between two reads of the machine list.
	ListInterval time.Duration
	// PollInterval is the least time between two load polls of one replica.
	PollInterval time.Duration
	// PollTimeout bounds one poll; PollFailures in a row make a replica unreachable.
	PollTimeout  time.Duration
	PollFailures int
	// SummaryInterval is the least time between two summaries to other zones.
	SummaryInterval time.Duration
	// RefreshInterval is the time after which an unchanged load is sent all the same.
	RefreshInterval time.Duration
	// PublishInterval bounds how often a Directory without urgent changes is published.
	PublishInterval time.Duration
	// FailureBackoff is how long one failed call keeps a replica out; it doubles up to
	// MaxFailureBackoff with each further failure.
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// ListBytesPerSecond, PollBytesPerSecond and DeltaBytesPerSecond are a node's budgets.
	ListBytesPerSecond  int
	PollBytesPerSecond  int
	DeltaBytesPerSecond int
	// CachePoll is the time between two polls of a replica's cache events; 0 is never.
	CachePoll time.Duration
}

// DefaultOptions returns the options of a node in service.
func DefaultOptions() Options {
	return Options{
		ListInterval:        500 * time.Millisecond,
		PollInterval:        100 * time.Millisecond,
		PollTimeout:         time.Second,
		PollFailures:        3,
		SummaryInterval:     500 * time.Millisecond,
		RefreshInterval:     time.Second,
		PublishInterval:     20 * time.Millisecond,
		FailureBackoff:      time.Second,
		MaxFailureBackoff:   8 * time.Second,
		ListBytesPerSecond:  3 << 10,
		PollBytesPerSecond:  7 << 10,
		DeltaBytesPerSecond: 3 << 10,
		CachePoll:           200 * time.Millisecond,
	}
}

// Sizes in bytes, as measured on the wire, that intervals are worked out from.
const (
	machineBytes   = 160
	pollBytes      = 700
	loadDeltaBytes = 48
	summaryBytes   = 26
)

// within returns the interval at which count messages of size bytes stay in budget, at least least.
func within(least time.Duration, count, size, bytesPerSecond int) time.Duration {
	needed := time.Duration(count*size) * time.Second / time.Duration(max(1, bytesPerSecond))
	return max(least, needed)
}
