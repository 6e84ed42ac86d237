package placement

import "time"

// Options configure the pace of placement.
type Options struct {
	// SharePercent of a service's replicas, at least one, may be out of service at a time.
	SharePercent int
	// ObserveInterval is the time between two observations of the fleet.
	ObserveInterval time.Duration
	// SettleTime is how long a replica may still receive new requests after the order to drain it.
	SettleTime time.Duration
	// RetryInterval is the wait before a failed order, reservation or fence acquisition is retried.
	RetryInterval time.Duration
	// FencedPause is how long an orderer whose order was fenced off does not take a new token for the service.
	FencedPause time.Duration
	// MaxLag bounds the age that a load report is assumed to have when it is received.
	MaxLag time.Duration
	// CallTimeout bounds one call to an engine or the platform.
	CallTimeout time.Duration
}

// DefaultOptions returns the options of a production node.
func DefaultOptions() Options {
	return Options{
		SharePercent:    20,
		ObserveInterval: 200 * time.Millisecond,
		SettleTime:      2 * time.Second,
		RetryInterval:   time.Second,
		FencedPause:     5 * time.Second,
		MaxLag:          2 * time.Second,
		CallTimeout:     3 * time.Second,
	}
}
