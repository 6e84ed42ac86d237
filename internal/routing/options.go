package routing

import "time"

// Policy names how batch shares the fleet with online; experiments compare them.
type Policy string

// Policies. PolicySloelift is the product's own; the others are baselines.
const (
	// PolicySloelift runs batch on credits and takes them back for online bursts.
	PolicySloelift Policy = "sloelift"
	// PolicyOnlineOnly runs no batch at all.
	PolicyOnlineOnly Policy = "online-only"
	// PolicyFIFO lets batch take any free slot, with equal priority and no yield.
	PolicyFIFO Policy = "fifo"
	// PolicyStaticSplit keeps a fixed share of the replicas for batch only.
	PolicyStaticSplit Policy = "static-split"
)

// PickerKind names a picker.
type PickerKind string

// Pickers.
const (
	// PickerTop takes the cheapest replica, at random among those nearly as cheap.
	PickerTop PickerKind = "top"
	// PickerPowerOfTwo takes the cheaper one of two at random.
	PickerPowerOfTwo PickerKind = "power-of-two"
)

// Options switch the terms of routing, so that experiments can measure the worth of each.
type Options struct {
	Policy Policy
	Picker PickerKind
	// DisablePrefix, DisableLoad and DisableDistance drop a scorer; DisableOwnRequests
	// drops own requests since the last report; DisableCacheEvents leaves the prefix index
	// uncorrected; DisableConfidence takes old entries of it for certain.
	DisablePrefix      bool
	DisableLoad        bool
	DisableDistance    bool
	DisableOwnRequests bool
	DisableCacheEvents bool
	DisableConfidence  bool
	// DisableAffinity picks at random among equals, whatever the beginning of the prompt.
	DisableAffinity bool
	// StaticBatchPercent is the share of replicas kept for batch by PolicyStaticSplit.
	StaticBatchPercent int
	Costs              Costs
}

// Costs turn what is known about a replica into an expected delay of the first token.
type Costs struct {
	// PrefillBlock is the time to compute one prefix block that is not cached.
	PrefillBlock time.Duration
	// PrefillToken is the time to compute one queued prompt token.
	PrefillToken time.Duration
	// Step is the engine's step time where it reports none.
	Step time.Duration
	// BusySteps is how many steps a full batch adds, in proportion to how full it is.
	BusySteps float64
	// WaitingSteps is how many steps one waiting request adds.
	WaitingSteps float64
	// BatchShare weighs a batch request in comparison with an online one.
	BatchShare float64
	// OtherZone and OtherRegion are the cost of distance.
	OtherZone   time.Duration
	OtherRegion time.Duration
	// NoReport is the cost of a replica without a load report.
	NoReport time.Duration
	// Tie is the difference below which two costs count as equal.
	Tie time.Duration
	// MaxLag bounds how old a load report is taken to be when it is heard.
	MaxLag time.Duration
}

// DefaultOptions returns the options of a node in service.
func DefaultOptions() Options {
	return Options{
		Policy:             PolicySloelift,
		Picker:             PickerTop,
		StaticBatchPercent: 33,
		Costs: Costs{
			PrefillBlock: 300 * time.Microsecond,
			PrefillToken: 10 * time.Microsecond,
			Step:         4 * time.Millisecond,
			BusySteps:    2,
			WaitingSteps: 8,
			BatchShare:   0.25,
			OtherZone:    2 * time.Millisecond,
			OtherRegion:  40 * time.Millisecond,
			NoReport:     10 * time.Millisecond,
			Tie:          500 * time.Microsecond,
			MaxLag:       2 * time.Second,
		},
	}
}
