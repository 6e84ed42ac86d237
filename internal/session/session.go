package session

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

// Request is one online request after it was parsed and its tenant found.
type Request struct {
	// ID is unique in the whole system; it is the engine's request id.
	ID        string
	Tenant    *config.Tenant
	Service   *config.Service
	Priority  *config.Priority
	Model     string
	Adapter   string
	Operation engine.Operation
	Body      json.RawMessage
	// BodyReady is engine.Request's.
	BodyReady bool
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// NotRepeatable marks a request that runs at most once. IdempotencyKey is then required.
	NotRepeatable  bool
	IdempotencyKey string
	// Fingerprint is a digest of the content, to tell a resend from a clash of keys.
	Fingerprint string
	// Offset is the number of tokens that the caller has from an earlier connection, and
	// Replica the one that served it; the engine run ID is then attached to. Prior is the
	// text of those tokens, empty where the caller did not send it.
	Offset  int
	Replica string
	Prior   string
	// KeepRun leaves the engine run alive when the caller goes away, so that it can reconnect.
	KeepRun bool
}

// Reconnects says that the request goes on with a stream that another connection began.
func (r *Request) Reconnects() bool { return r.Replica != "" }

// Chunk is a piece of the answer with the replica that made it.
type Chunk struct {
	engine.Chunk
	Replica string
}

// Sink takes the answer's chunks in order, each token once.
type Sink func(chunk Chunk) error

// Runner runs online requests. It is safe for concurrent use.
type Runner interface {
	// Run returns after the last chunk went to sink. Its error is an *outcome.Error.
	Run(ctx context.Context, request Request, sink Sink) error
}

// Claim is the state of an idempotency key at its partition's owner.
type Claim struct {
	// Granted: this caller, and no other, calls the engine, under RequestID.
	Granted bool
	// RequestID and Replica are the engine run that the key stands for.
	RequestID string
	Replica   string
	// Done: the key has its result, a *Result.
	Done   bool
	Result Result
}

// Result is the recorded answer of a key.
type Result struct {
	Outcome string
	Text    string
	Finish  string
	Usage   engine.Usage
}

// Claimer records keys on the ledger so that a marked request runs at most once.
type Claimer interface {
	// Claim records that the engine run requestID on replica is about to start, unless the key
	// has been claimed. The record is durable before Claim returns Granted.
	// The same key with another fingerprint is an *outcome.Error with ReasonConflict.
	Claim(ctx context.Context, tenant, key, fingerprint, requestID, replica string) (Claim, error)
	// Complete records the result; the first one stands and is returned.
	Complete(ctx context.Context, tenant, key string, result Result) (Result, error)
	// Await waits until the key has its result or ctx ends.
	Await(ctx context.Context, tenant, key string) (Claim, error)
}
