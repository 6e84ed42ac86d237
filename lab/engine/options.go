package engine

import (
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// OnlineRank is the lowest request priority of online requests. Requests below it count
// as batch, both in load reports and for the size of their stream events.
const OnlineRank = 500

// Options describe one emulated engine; start from DefaultOptions.
type Options struct {
	Replica string
	// Models are the models that are ready at start; if empty, any model name is accepted.
	Models []modelengine.LoadedModel
	// StepBase is the duration of an empty step; a step takes
	// StepBase + decoding sequences * StepPerSequence + prefill tokens * StepPerPrefillToken.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int
	// MaxRunning is the maximum number of sequences in a step, MaxWaiting that of queued ones.
	MaxRunning int
	MaxWaiting int
	// CacheBlocks is the size of the prefix cache in blocks of engine.PrefixBlockBytes.
	CacheBlocks int
	// BatchFlushTokens is the number of tokens per stream event of batch runs; online
	// runs stream every token.
	BatchFlushTokens int
	// LoadLag is the delay of load reports, CacheEventLag that of cache events.
	LoadLag       time.Duration
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never published, 0 to 1.
	CacheEventLoss float64
	// ModelLoadTime is the time from an order until the model or adapter is ready.
	ModelLoadTime time.Duration
	// RunRetention is how long requests can attach to an ended run; UnreadTimeout is how
	// long a run without a reader continues.
	RunRetention  time.Duration
	UnreadTimeout time.Duration
	// IsBatch reports whether the run with a marker is a batch run, for policies under which both
	// classes have the same priority. If nil, OnlineRank decides.
	IsBatch func(marker string) bool
	// ReserveFetch requests permission to fetch weights from the weight store; nil always permits.
	ReserveFetch func(name, version, replica string) error
	// Log records the engine's runs and survives a kill; nil means a new log.
	Log *RunLog
	// Seed determines which cache events are lost.
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
