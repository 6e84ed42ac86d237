package placement

import "time"

// Options are the rates of placement.
type Options struct {
	// SharePercent of a service's replicas, at least one, may be out of service at a time.
	SharePercent int
	// ObserveInterval is the time between two looks at the fleet.
	ObserveInterval time.Duration
	// SettleTime is how long after the order to drain a replica may still be sent new work.
	SettleTime time.Duration
	// RetryInterval is the time before a failed order, reservation or fence is tried again.
	RetryInterval time.Duration
	// FencedPause is how long an orderer that was refused leaves the service alone.
	FencedPause time.Duration
	// MaxLag bounds how old a load report is taken to be when it is heard.
	MaxLag time.Duration
	// CallTimeout bounds one call to an engine or the platform.
	CallTimeout time.Duration
}

// DefaultOptions returns the options of a node in service.
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
