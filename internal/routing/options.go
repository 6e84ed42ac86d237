package routing

import "time"

// Policy determines how batch shares the fleet with online requests.
type Policy string

// Policies. PolicySloelift is used in production; the others are baselines for experiments.
const (
	// PolicySloelift runs batch items on credits, which are revoked when online requests need
	// the slots.
	PolicySloelift Policy = "sloelift"
	// PolicyOnlineOnly runs no batch items.
	PolicyOnlineOnly Policy = "online-only"
	// PolicyFIFO lets batch items use any free slot, with the same priority as online requests
	// and without revocation.
	PolicyFIFO Policy = "fifo"
	// PolicyStaticSplit reserves a fixed share of the replicas for batch.
	PolicyStaticSplit Policy = "static-split"
)

// PickerKind selects the picker.
type PickerKind string

// Pickers.
const (
	// PickerTop picks among the replicas within Costs.Tie of the lowest cost, by prefix
	// affinity or at random.
	PickerTop PickerKind = "top"
	// PickerPowerOfTwo picks the cheaper one of two random replicas.
	PickerPowerOfTwo PickerKind = "power-of-two"
)

// Options configure routing. The switches allow experiments to measure the effect of each term.
type Options struct {
	Policy Policy
	Picker PickerKind
	// DisablePrefix, DisableLoad and DisableDistance remove a scorer. DisableOwnRequests
	// ignores the node's own requests that a load report does not include yet.
	// DisableCacheEvents leaves the prefix index uncorrected, and DisableConfidence does not
	// discount its old entries.
	DisablePrefix      bool
	DisableLoad        bool
	DisableDistance    bool
	DisableOwnRequests bool
	DisableCacheEvents bool
	DisableConfidence  bool
	// DisableAffinity makes PickerTop ignore the prompt prefix and pick at random.
	DisableAffinity bool
	// StaticBatchPercent is the percentage of replicas that PolicyStaticSplit reserves for batch.
	StaticBatchPercent int
	Costs              Costs
}

// Costs are the parameters of the scorers, which estimate the delay of the first token.
type Costs struct {
	// PrefillBlock is the time to compute one prefix block that is not cached.
	PrefillBlock time.Duration
	// PrefillToken is the time to compute one queued prompt token.
	PrefillToken time.Duration
	// Step is the assumed step time of an engine that reports none.
	Step time.Duration
	// BusySteps is the delay, in steps, that a full replica adds; it is scaled by the share of
	// slots in use.
	BusySteps float64
	// WaitingSteps is the delay, in steps, that each waiting request adds.
	WaitingSteps float64
	// OwnWeight is the number of requests that each of the node's own requests since the last
	// report counts for, since other gateways choose by the same report.
	OwnWeight float64
	// BatchShare is the weight of a running batch request relative to an online one.
	BatchShare float64
	// OtherZone and OtherRegion are the costs of a replica in another zone or region.
	OtherZone   time.Duration
	OtherRegion time.Duration
	// NoReport is the cost of a replica without a load report.
	NoReport time.Duration
	// Tie is the difference up to which costs count as equal.
	Tie time.Duration
	// MaxLag bounds the assumed age of a load report on receipt.
	MaxLag time.Duration
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		Policy:             PolicySloelift,
		Picker:             PickerTop,
		StaticBatchPercent: 33,
		Costs: Costs{
			PrefillBlock: 300 * time.Microsecond,
			PrefillToken: 10 * time.Microsecond,
			Step:         4 * time.Millisecond,
			BusySteps:    1,
			WaitingSteps: 8,
			OwnWeight:    2,
			BatchShare:   0.25,
			OtherZone:    2 * time.Millisecond,
			OtherRegion:  40 * time.Millisecond,
			NoReport:     10 * time.Millisecond,
			Tie:          500 * time.Microsecond,
			MaxLag:       2 * time.Second,
		},
	}
}
