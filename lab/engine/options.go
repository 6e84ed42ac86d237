package engine

import (
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// OnlineRank is the lowest request priority that counts as online; requests below it
// count as batch, in load reports and in how often they stream.
const OnlineRank = 500

// Options describe one emulated engine. The zero value of a field other than Replica
// means the value of DefaultOptions where one is needed.
type Options struct {
	Replica string
	// Models are the models that are ready at the start; empty accepts any model name.
	Models []modelengine.LoadedModel
	// StepBase is the duration of a step with nothing in it; a step takes
	// StepBase + decoding sequences * StepPerSequence + prefill tokens * StepPerPrefillToken.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillChunk bounds the prompt tokens that one step computes.
	PrefillChunk int
	// MaxRunning bounds the sequences in a step, MaxWaiting those that wait.
	MaxRunning int
	MaxWaiting int
	// CacheBlocks bounds the prefix cache, in blocks of engine.PrefixBlockBytes.
	CacheBlocks int
	// BatchFlushTokens is how many tokens of a batch run go into one stream event;
	// runs of online rank stream each token.
	BatchFlushTokens int
	// LoadLag is the age of load reports, CacheEventLag that of cache events.
	LoadLag       time.Duration
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never published, 0 to 1.
	CacheEventLoss float64
	// ModelLoadTime is how long an ordered model or adapter takes to be ready.
	ModelLoadTime time.Duration
	// RunRetention is how long an ended run can be attached to; UnreadTimeout is how
	// long a run without a reader goes on.
	RunRetention  time.Duration
	UnreadTimeout time.Duration
	// IsBatch tells whether the run of a marker counts as batch; nil goes by OnlineRank. It is for
	// policies under which both classes have the same priority.
	IsBatch func(marker string) bool
	// ReserveFetch asks the weight store for leave to fetch; nil is always granted.
	ReserveFetch func(name, version, replica string) error
	// Log records what the engine really did; it outlives a kill.
	Log *RunLog
	// Seed drives the loss of cache events.
	Seed uint64
}

// DefaultOptions returns the options of a replica whose empty step takes stepBase.
func DefaultOptions(replica string, stepBase time.Duration) Options {
	return Options{
		Replica:             replica,
		StepBase:            stepBase,
		StepPerSequence:     60 * time.Microsecond,
		StepPerPrefillToken: 6 * time.Microsecond,
		PrefillChunk:        512,
		MaxRunning:          16,
		MaxWaiting:          64,
		CacheBlocks:         4096,
		BatchFlushTokens:    16,
		LoadLag:             100 * time.Millisecond,
		CacheEventLag:       200 * time.Millisecond,
		ModelLoadTime:       300 * time.Millisecond,
		RunRetention:        60 * time.Second,
		UnreadTimeout:       30 * time.Second,
		Log:                 NewRunLog(),
		Seed:                1,
	}
}
