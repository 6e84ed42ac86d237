package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/routing"
)

// Options are the rates and bounds of admission.
type Options struct {
	// Policy is the product's own or a baseline of an experiment.
	Policy routing.Policy
	// StaticBatchPercent is the share of replicas kept for batch by PolicyStaticSplit.
	StaticBatchPercent int
	// TimeToLive is how long a credit runs unless it is renewed.
	TimeToLive time.Duration
	// RenewInterval is the time between two renewals of a credit in use.
	RenewInterval time.Duration
	// ExpirySlack is how much longer the home node counts a credit as out.
	ExpirySlack time.Duration
	// ReportMaxAge is the age from which a load report no longer backs any credit.
	ReportMaxAge time.Duration
	// MaxLag bounds how old a report is taken to be when it is heard.
	MaxLag time.Duration
	// GrantHeadroomPercent of a replica's slots, at least one, stay free of new credits;
	// credits are taken back when fewer than RevokeHeadroomPercent are free.
	GrantHeadroomPercent  int
	RevokeHeadroomPercent int
	// SharedPercent of a replica's slots, at least one, is what batch gets of a replica that
	// serves online requests at the time; KeepSharedPercent is what it keeps when they come.
	SharedPercent     int
	KeepSharedPercent int
	// StartSteps is the number of engine steps between two new credits on one replica, so that
	// prompts are not computed all at once and later items find the shared beginning cached.
	StartSteps int
	// BurstWindow is how long the highest number of online requests is remembered; as many
	// slots are kept for its return, up to BurstPercent of a replica's slots.
	BurstWindow  time.Duration
	BurstPercent int
	// MaxReuse is how long one credit passes from item to item on the node that holds it.
	MaxReuse time.Duration
	// DemandRefresh is the time after which waiting items are announced again; an
	// announcement that is not refreshed lapses after twice that time.
	DemandRefresh time.Duration
	// DemandHomes bounds the home nodes that one announcement goes to.
	DemandHomes int
	// DeclinePause is how long a replica is not offered to a node that declined it.
	DeclinePause time.Duration
	// PrefixLookahead bounds how many waiting items are compared for a cached prefix.
	PrefixLookahead int
	// FairnessSlack is by how many credits owners may differ for the sake of a cached prefix.
	FairnessSlack int
	// PrefixMemory is how long a home node takes a prefix for cached after a grant.
	PrefixMemory time.Duration
	// SignalFlush is how long online starts are gathered before they are sent to home nodes.
	SignalFlush time.Duration
	// DisableOnlineSignals leaves bursts to be seen in load reports only.
	DisableOnlineSignals bool
}

// DefaultOptions returns the options of a node in service.
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

// EqualPriority says whether engines get batch and online requests with the same priority.
func (o Options) EqualPriority() bool { return o.Policy == routing.PolicyFIFO }
