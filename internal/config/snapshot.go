package config

// Snapshot is the whole configuration at one revision. It is immutable: nobody
// changes a Snapshot or what it points to after it was made.
type Snapshot struct {
	// Revision rises with each accepted file; 0 is the empty configuration.
	Revision   int64
	Models     map[string]*Model
	Services   map[string]*Service
	Priorities map[string]*Priority
	Tenants    map[string]*Tenant
	Jobs       map[string]*Job
	// TenantByKeyDigest finds a tenant by the SHA-256 hex digest of its bearer key.
	TenantByKeyDigest map[string]*Tenant
}

// Source gives the configuration in force on this node.
type Source interface {
	// Current returns the Snapshot in force; never nil, and its Revision never falls.
	Current() *Snapshot
	// Subscribe calls notify after each change, on the source's own goroutine, until
	// the returned function is called. notify must not block.
	Subscribe(notify func(*Snapshot)) (unsubscribe func())
}
