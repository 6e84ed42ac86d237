package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/routing"
)

// Options are the intervals and limits of credits.
type Options struct {
	// Policy is PolicySloelift, or a baseline for experiments.
	Policy routing.Policy
	// StaticBatchPercent is the percentage of replicas that PolicyStaticSplit reserves for batch.
	StaticBatchPercent int
	// TimeToLive is how long a credit is valid after its grant or last renewal.
	TimeToLive time.Duration
	// RenewInterval is the time between two renewals of a credit in use.
	RenewInterval time.Duration
	// ExpirySlack is how much longer the home node counts an expired credit as outstanding.
	ExpirySlack time.Duration
	// ReportMaxAge is the age above which a load report is stale: the replica gets no credits,
	// and its credits are revoked.
	ReportMaxAge time.Duration
	// MaxLag bounds the assumed age of a load report on receipt.
	MaxLag time.Duration
	// GrantHeadroomPercent of a replica's slots, and at least one slot, are kept free of new
	// credits. Credits are revoked when less than RevokeHeadroomPercent of the slots is free.
	GrantHeadroomPercent  int
	RevokeHeadroomPercent int
	// SharedPercent of a replica's slots, and at least one slot, may get new credits while the
	// replica serves online requests; credits above KeepSharedPercent are then revoked.
	SharedPercent     int
	KeepSharedPercent int
	// StartSteps is the minimum number of engine steps between two new credits on one replica.
	// It spreads out prefill, and lets later items find a shared prefix in the cache.
	StartSteps int
	// BurstWindow is the time over which the peak of online requests is tracked. Slots are kept
	// free for a return to that peak, up to BurstPercent of a replica's slots.
	BurstWindow  time.Duration
	BurstPercent int
	// MaxReuse is the time after its grant during which a requester may reuse a credit for
	// further items.
	MaxReuse time.Duration
	// DemandRefresh is the interval at which waiting items are announced again; a home node
	// discards an announcement after twice that time.
	DemandRefresh time.Duration
	// DemandHomes is the maximum number of home nodes that an announcement is sent to.
	DemandHomes int
	// DeclinePause is how long a replica is not offered to a node that declined it.
	DeclinePause time.Duration
	// PrefixLookahead is the maximum number of waiting items that are compared for a cached
	// prefix when a credit is assigned.
	PrefixLookahead int
	// FairnessSlack is the difference in outstanding credits up to which tenants count as
	// equal, so that a cached prefix decides between them.
	FairnessSlack int
	// PrefixMemory is how long a home node assumes a prefix to be cached after a grant.
	PrefixMemory time.Duration
	// SignalFlush is how long online starts are batched before they are sent to home nodes.
	SignalFlush time.Duration
	// DisableOnlineSignals makes home nodes rely on load reports alone to see online bursts.
	DisableOnlineSignals bool
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		Policy:                routing.PolicySloelift,
		StaticBatchPercent:    33,
		TimeToLive:            600 * time.Millisecond,
		RenewInterval:         200 * time.Millisecond,
		ExpirySlack:           100 * time.Millisecond,
		ReportMaxAge:          1500 * time.Millisecond,
		MaxLag:                2 * time.Second,
		GrantHeadroomPercent:  12,
		RevokeHeadroomPercent: 6,
		SharedPercent:         50,
		KeepSharedPercent:     75,
		StartSteps:            6,
		BurstWindow:           5 * time.Second,
		BurstPercent:          25,
		MaxReuse:              2 * time.Second,
		DemandRefresh:         500 * time.Millisecond,
		DemandHomes:           8,
		DeclinePause:          100 * time.Millisecond,
		PrefixLookahead:       64,
		FairnessSlack:         4,
		PrefixMemory:          30 * time.Second,
		SignalFlush:           time.Millisecond,
	}
}

// EqualPriority reports whether engines get batch and online requests with the same priority.
func (o Options) EqualPriority() bool { return o.Policy == routing.PolicyFIFO }
