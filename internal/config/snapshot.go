package config

import "fmt"

// Snapshot is the whole configuration at one revision. It is immutable: neither a
// Snapshot nor what it points to may be modified after it was built.
type Snapshot struct {
	// Revision increases by one with each accepted change; 0 is the empty configuration.
	Revision   int64
	Models     map[string]*Model
	Services   map[string]*Service
	Priorities map[string]*Priority
	Tenants    map[string]*Tenant
	Jobs       map[string]*Job
	// TenantByKeyDigest maps the SHA-256 hex digest of a bearer key to its tenant.
	TenantByKeyDigest map[string]*Tenant
}

// Source provides the configuration in force on this node.
type Source interface {
	// Current returns the Snapshot in force. It is never nil, and its Revision never
	// decreases.
	Current() *Snapshot
	// Subscribe calls notify after each change, on the source's own goroutine, until
	// the returned function is called. notify must not block.
	Subscribe(notify func(*Snapshot)) (unsubscribe func())
}

// BuildSnapshot returns a Snapshot of the declarations. It takes over the values,
// which must not be modified afterwards. Two declarations with the same ID are an
// error.
func BuildSnapshot(revision int64, declarations []Declaration) (*Snapshot, error) {
	snapshot := &Snapshot{
		Revision:          revision,
		Models:            map[string]*Model{},
		Services:          map[string]*Service{},
		Priorities:        map[string]*Priority{},
		Tenants:           map[string]*Tenant{},
		Jobs:              map[string]*Job{},
		TenantByKeyDigest: map[string]*Tenant{},
	}
	seen := make(map[ID]bool, len(declarations))
	for _, declaration := range declarations {
		if seen[declaration.ID] {
			return nil, fmt.Errorf("%s is declared twice", declaration.ID)
		}
		seen[declaration.ID] = true
		snapshot.add(declaration.Value)
	}
	return snapshot, nil
}

func (s *Snapshot) add(value Value) {
	switch typed := value.(type) {
	case *Model:
		s.Models[typed.Name] = typed
	case *Service:
		s.Services[typed.Name] = typed
	case *Priority:
		s.Priorities[typed.Name] = typed
	case *Tenant:
		s.Tenants[typed.Name] = typed
		for _, digest := range typed.KeyDigests {
			s.TenantByKeyDigest[digest] = typed
		}
	case *Job:
		s.Jobs[typed.Name] = typed
	}
}

// Declarations returns all declarations, sorted by kind in the order of Kinds, then
// by name.
func (s *Snapshot) Declarations() []Declaration {
	set := declarationSet{}
	addValues(set, s.Models)
	addValues(set, s.Services)
	addValues(set, s.Priorities)
	addValues(set, s.Tenants)
	addValues(set, s.Jobs)
	return set.sorted()
}

func addValues[V Value](set declarationSet, values map[string]V) {
	for _, value := range values {
		declaration := NewDeclaration(value)
		set[declaration.ID] = declaration
	}
}
