package config

import "context"

// Change is one declaration that differs between two revisions.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Action is "create", "replace" or "withdraw".
	Action string `json:"action"`
	// Before and After are YAML; empty where the declaration is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ApplyResult is the outcome of an accepted file.
type ApplyResult struct {
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes"`
}

// AnyRevision lets Apply go ahead whatever the present revision is.
const AnyRevision int64 = -1

// Store accepts operators' files. Each is applied whole or not at all, in one
// transaction. Errors: *ValidationError with positions; *ConflictError where
// expectRevision is not the present one; an *outcome.Error otherwise. It is safe
// for concurrent use.
type Store interface {
	Apply(ctx context.Context, file []byte, expectRevision int64) (ApplyResult, error)
	// Diff tells what Apply would change, without a change.
	Diff(ctx context.Context, file []byte) (ApplyResult, error)
	Withdraw(ctx context.Context, kind Kind, name string, expectRevision int64) (ApplyResult, error)
	// Load reads the present configuration from the key-value service.
	Load(ctx context.Context) (*Snapshot, error)
}
