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

// Request is one generation. ID is unique in the whole system for a logical request:
// an engine that already runs or ran ID attaches to that run and never starts a second.
type Request struct {
	ID        string
	Operation Operation
	// Body is the OpenAI-compatible JSON body; the client forces "stream": true.
	Body json.RawMessage
	// Model replaces the body's "model" where it is not empty.
	Model string
	// BodyReady says that Body has "stream": true, the right model and no "resume": it is
	// sent as it is, unless the request goes on behind an answer so far.
	BodyReady bool
	// Priority is the rank; a higher one goes first. Batch ranks are below online ranks.
	Priority int
	// Offset is the number of output tokens the caller already has; the stream goes on behind them.
	Offset int
	// Prior is the text of those Offset tokens, which another replica continues from.
	Prior string
	// AttachOnly asks only for an existing run of ID; KindNoSuchRun where there is none.
	AttachOnly bool
}

// Chunk is a piece of a stream.
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
	// Next returns the next chunk; io.EOF after the last one. Any other error tells
	// by its kind whether the request may have run.
	Next() (Chunk, error)
	// Close gives up the connection. It does not cancel the run.
	Close() error
}

// CancelResult is the state of a run after a cancel.
type CancelResult struct {
	// Found is false where the engine knows no such run.
	Found bool
	// Finished is true where the run ended before the cancel.
	Finished bool
	// Offset is the number of output tokens made.
	Offset int
}

// LoadReport is an engine's load. It lags; MeasuredAt is the engine's own time.
type LoadReport struct {
	Sequence      uint64    `json:"sequence"`
	MeasuredAt    time.Time `json:"measured_at"`
	Running       int       `json:"running"`
	RunningBatch  int       `json:"running_batch"`
	Waiting       int       `json:"waiting"`
	WaitingBatch  int       `json:"waiting_batch"`
	MaxRunning    int       `json:"max_running"`
	CacheBlocks   int       `json:"cache_blocks"`
	CacheUsed     int       `json:"cache_used"`
	StepMicros    int64     `json:"step_micros"`
	Leaving       bool      `json:"leaving"`
	Models        []Loaded  `json:"models"`
	Role          string    `json:"role"`
	FenceToken    uint64    `json:"fence_token"`
	QueuedPrefill int       `json:"queued_prefill_tokens"`
}

// Loaded is one model version, with adapters, that an engine serves.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// State is "loading" or "ready".
	State string `json:"state"`
}

// CacheEvent tells that a prefix block was stored in or evicted from the cache.
type CacheEvent struct {
	// Sequence rises by one; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "evicted" or "cleared".
	Kind string `json:"kind"`
	// Blocks are chained block hashes, see PrefixBlocks.
	Blocks []uint64 `json:"blocks"`
}

// CacheEvents is one page of events. Next is the sequence to ask from.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderKind names what an order does.
type OrderKind string

// Orders an engine accepts.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order is a fenced order. An engine refuses a Fence below the highest it has seen.
type Order struct {
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// Client talks to engines. It is safe for concurrent use.
type Client interface {
	// Generate starts or attaches to a run. An error of KindRefused or KindNotSent
	// means that the engine did not run it; KindLost means that it may have.
	Generate(ctx context.Context, to Endpoint, request Request) (Stream, error)
	Cancel(ctx context.Context, to Endpoint, requestID string) (CancelResult, error)
	Load(ctx context.Context, to Endpoint) (LoadReport, error)
	CacheEvents(ctx context.Context, to Endpoint, from uint64) (CacheEvents, error)
	Order(ctx context.Context, to Endpoint, order Order) error
	// ExportCache returns the KV cache of a run as an opaque value, ImportCache gives it to another engine.
	ExportCache(ctx context.Context, to Endpoint, requestID string) ([]byte, error)
	ImportCache(ctx context.Context, to Endpoint, cache []byte) error
}
