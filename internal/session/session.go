package session

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

// Request is one online request, parsed and with its tenant resolved.
type Request struct {
	// ID is unique in the whole system and is also the request id at the engine.
	ID        string
	Tenant    *config.Tenant
	Service   *config.Service
	Priority  *config.Priority
	Model     string
	Adapter   string
	Operation engine.Operation
	Body      json.RawMessage
	// BodyReady has the meaning of engine.Request.BodyReady.
	BodyReady bool
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// NotRepeatable is set for a request that must run at most once; it requires an
	// IdempotencyKey.
	NotRepeatable  bool
	IdempotencyKey string
	// Fingerprint is a digest of the content, which distinguishes a resent request from another
	// one with the same key.
	Fingerprint string
	// Offset is the number of tokens that the caller received on an earlier connection, and
	// Replica is the replica that served it; Run then attaches to the engine run with this ID.
	// Prior is the text of those tokens, empty if the caller did not send it.
	Offset  int
	Replica string
	Prior   string
	// KeepRun keeps the engine run alive when the caller disconnects, so that it can reconnect.
	KeepRun bool
}

// Reconnects reports whether the request continues a stream begun on another connection.
func (r *Request) Reconnects() bool { return r.Replica != "" }

// Chunk is a part of the answer with the id of the replica that generated it.
type Chunk struct {
	engine.Chunk
	Replica string
}

// Sink receives the answer's chunks in order, each token once. It returns an error if the
// caller cannot be written to any more.
type Sink func(chunk Chunk) error

// Runner runs online requests. It is safe for concurrent use.
type Runner interface {
	// Run returns after the last chunk was passed to sink. Its error is an *outcome.Error.
	Run(ctx context.Context, request Request, sink Sink) error
}

// Claim is the state of an idempotency key at the owner of its partition.
type Claim struct {
	// Granted is true if this caller, and no other, may call the engine, under RequestID.
	Granted bool
	// RequestID and Replica identify the engine run that the key refers to.
	RequestID string
	Replica   string
	// Done is true if the key has its result, which is then Result.
	Done   bool
	Result Result
}

// Result is the recorded result of a key.
type Result struct {
	Outcome string
	Text    string
	Finish  string
	Usage   engine.Usage
}

// Claimer records idempotency keys in the ledger, so that a non-repeatable request runs at
// most once.
type Claimer interface {
	// Claim records that the engine run requestID on replica is about to start, unless the key
	// is already claimed. The record is durable before Claim returns Granted. For a key recorded
	// with another fingerprint it returns an *outcome.Error with ReasonConflict.
	Claim(ctx context.Context, tenant, key, fingerprint, requestID, replica string) (Claim, error)
	// Complete records the result unless the key has one already, and returns the recorded one.
	Complete(ctx context.Context, tenant, key string, result Result) (Result, error)
	// Await waits until the key has its result or ctx ends.
	Await(ctx context.Context, tenant, key string) (Claim, error)
}
