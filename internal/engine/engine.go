package engine

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"
)

// Endpoint is the HTTP address of one replica's engine.
type Endpoint struct {
	Replica string
	Address netip.AddrPort
}

// Operation is the engine's path for a generation.
type Operation string

// Operations of the engine.
const (
	OperationChat       Operation = "/v1/chat/completions"
	OperationCompletion Operation = "/v1/completions"
)

// Request is one generation.
type Request struct {
	// ID is unique in the whole system for a logical request. An engine that is running or has run
	// it attaches to that run and never starts a second one.
	ID        string
	Operation Operation
	// Body is the OpenAI-compatible JSON body; the client forces "stream": true.
	Body json.RawMessage
	// Model replaces the body's "model" if it is not empty.
	Model string
	// BodyReady is true if Body has "stream": true, the right model and no "resume". It is then sent
	// unchanged if Offset is 0.
	BodyReady bool
	// Priority is the rank; higher ranks run first. Batch ranks are below online ranks.
	Priority int
	// Offset is the number of output tokens that the caller already has; the stream starts after
	// them.
	Offset int
	// Prior is the text of those Offset tokens, from which another replica continues.
	Prior string
	// AttachOnly restricts the request to an existing run of ID; without one, the error is
	// KindNoSuchRun.
	AttachOnly bool
}

// Chunk is a part of a stream.
type Chunk struct {
	// Offset is the index of the first token in Text; Tokens is their number.
	Offset int
	Tokens int
	Text   string
	// FinishReason is "stop", "length" or "cancelled" on the last chunk, else empty.
	FinishReason string
	// Usage is set on the last chunk.
	Usage *Usage
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Stream is one running generation. It is used by one goroutine.
type Stream interface {
	// Next returns the next chunk, or io.EOF after the last one. The kind of any other error
	// determines whether the request may have run.
	Next() (Chunk, error)
	// Close closes the stream. It does not cancel the run.
	Close() error
}

// CancelResult is the state of a run after a cancel.
type CancelResult struct {
	// Found is false if the engine has no such run.
	Found bool
	// Finished is true if the run ended before the cancel.
	Finished bool
	// Offset is the number of output tokens generated.
	Offset int
}

// LoadReport is an engine's load, which lags behind. MeasuredAt is the time of the engine's clock.
type LoadReport struct {
	Sequence      uint64        `json:"sequence"`
	MeasuredAt    time.Time     `json:"measured_at"`
	Running       int           `json:"running"`
	RunningBatch  int           `json:"running_batch"`
	Waiting       int           `json:"waiting"`
	WaitingBatch  int           `json:"waiting_batch"`
	MaxRunning    int           `json:"max_running"`
	CacheBlocks   int           `json:"cache_blocks"`
	CacheUsed     int           `json:"cache_used"`
	StepMicros    int64         `json:"step_micros"`
	Leaving       bool          `json:"leaving"`
	Models        []LoadedModel `json:"models"`
	Role          string        `json:"role"`
	FenceToken    uint64        `json:"fence_token"`
	QueuedPrefill int           `json:"queued_prefill_tokens"`
}

// LoadedModel is one model version, with its adapters, that an engine serves or loads.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// State is "loading" or "ready".
	State string `json:"state"`
}

// CacheEvent reports prefix blocks that were stored in or evicted from the cache, or that the cache
// was cleared.
type CacheEvent struct {
	// Sequence increases by one; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "evicted" or "cleared".
	Kind string `json:"kind"`
	// Blocks holds chained block hashes as returned by PrefixBlocks.
	Blocks []uint64 `json:"blocks"`
}

// CacheEvents is one page of events. Next is the sequence from which to request the next page.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderKind is the action of an order.
type OrderKind string

// Orders that an engine accepts.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order is an order with a fencing token. An engine rejects a Fence below the highest one it has
// seen.
type Order struct {
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// Client calls engines. It is safe for concurrent use.
type Client interface {
	// Generate starts or attaches to a run. An error of KindRefused or KindNotSent means that the
	// engine did not run it; KindLost means that it may have.
	Generate(ctx context.Context, to Endpoint, request Request) (Stream, error)
	// Cancel ends a run. Its result has Found false if the engine has no such run.
	Cancel(ctx context.Context, to Endpoint, requestID string) (CancelResult, error)
	// Load returns the engine's load report.
	Load(ctx context.Context, to Endpoint) (LoadReport, error)
	// CacheEvents returns the page of cache events that begins at sequence from.
	CacheEvents(ctx context.Context, to Endpoint, from uint64) (CacheEvents, error)
	// Order sends a fenced order. The error is KindFenced if its fencing token is too low.
	Order(ctx context.Context, to Endpoint, order Order) error
	// ExportCache returns the KV cache of a run as an opaque value.
	ExportCache(ctx context.Context, to Endpoint, requestID string) ([]byte, error)
	// ImportCache imports an exported KV cache into another engine.
	ImportCache(ctx context.Context, to Endpoint, cache []byte) error
}
