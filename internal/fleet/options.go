package fleet

import "time"

// Options configures the intervals and byte budgets of the fleet slice. Intervals grow
// with the size of the fleet so that a node's traffic stays within the byte budgets.
type Options struct {
	// ListInterval is the minimum time between two reads of the machine list.
	ListInterval time.Duration
	// PollInterval is the minimum time between two load polls of one replica.
	PollInterval time.Duration
	// PollTimeout bounds one poll. A replica is unreachable after PollFailures
	// consecutive failed polls.
	PollTimeout  time.Duration
	PollFailures int
	// SummaryInterval is the minimum time between two summaries to other zones.
	SummaryInterval time.Duration
	// RefreshInterval is the time after which an unchanged load is sent again.
	RefreshInterval time.Duration
	// PublishInterval is the minimum time between two Directories without urgent changes.
	PublishInterval time.Duration
	// FailureBackoff is how long a replica counts as failed after a failed call. It
	// doubles with each consecutive failure, up to MaxFailureBackoff.
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// ListBytesPerSecond, PollBytesPerSecond and DeltaBytesPerSecond are the node's
	// traffic budgets for reading the machine list, for load polls and for deltas.
	ListBytesPerSecond  int
	PollBytesPerSecond  int
	DeltaBytesPerSecond int
	// CachePoll is the minimum time between two polls of a replica's cache events; 0 disables them.
	CachePoll time.Duration
}

// DefaultOptions returns the options for production.
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

// Sizes on the wire in bytes, from which intervals are computed.
const (
	machineBytes   = 160
	pollBytes      = 700
	loadDeltaBytes = 48
	summaryBytes   = 26
)

// intervalWithin returns the interval, at least minimum, at which count messages of size bytes each stay within
// bytesPerSecond.
func intervalWithin(minimum time.Duration, count, size, bytesPerSecond int) time.Duration {
	needed := time.Duration(count*size) * time.Second / time.Duration(max(1, bytesPerSecond))
	return max(minimum, needed)
}
