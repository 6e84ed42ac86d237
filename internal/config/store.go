package config

import "context"

// Change is one declaration that differs between two revisions.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Action is "create", "replace" or "withdraw".
	Action string `json:"action"`
	// Before and After are YAML; empty if the declaration does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ApplyResult is the outcome of an accepted file.
type ApplyResult struct {
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes"`
}

// AnyRevision makes Apply and Withdraw accept any current revision.
const AnyRevision int64 = -1

// Store applies operators' files, each atomically in one transaction. Errors:
// *ValidationError with positions; *ConflictError if expectRevision is not the
// current revision; *InUseError if a declaration to be withdrawn is still referred
// to; otherwise *outcome.Error. It is safe for concurrent use.
type Store interface {
	Apply(ctx context.Context, file []byte, expectRevision int64) (ApplyResult, error)
	// Diff returns what Apply would change, without applying it.
	Diff(ctx context.Context, file []byte) (ApplyResult, error)
	// Withdraw removes a declaration that no other declaration refers to.
	Withdraw(ctx context.Context, kind Kind, name string, expectRevision int64) (ApplyResult, error)
	// Load reads the current configuration from the key-value service.
	Load(ctx context.Context) (*Snapshot, error)
}
