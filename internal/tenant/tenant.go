package tenant

import (
	"crypto/sha256"
	"iter"
	"maps"

	"github.com/sloelift/sloelift/internal/region"
)

// Limit is the rate limit of one tenant over all nodes together. Its zero value means no limit.
type Limit struct {
	// RequestsPerSecond is the sustained rate; 0 means no limit.
	RequestsPerSecond float64
	// Burst is the number of requests allowed in addition to the rate.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.RequestsPerSecond <= 0 }

// Tenant is one customer of the system.
type Tenant struct {
	Name  string
	Limit Limit
	// Priority overrides that of a route; 0 is the highest. It is nil if the tenant has no priority of its own.
	Priority *int
	// Regions are the regions in which the tenant's requests may be served, cached and stored.
	Regions region.Set
}

// Declaration is a tenant with its API keys, as the configuration declares it.
type Declaration struct {
	Tenant
	APIKeys []string
}

// digest is the SHA-256 of an API key.
type digest [sha256.Size]byte

// Directory finds tenants by their API keys, in constant time.
type Directory struct {
	byKey  map[digest]*Tenant
	byName map[string]*Tenant
}

// NewDirectory indexes the declared tenants. A key declared by several tenants belongs to the first of them.
func NewDirectory(declarations []Declaration) *Directory {
	directory := &Directory{byKey: map[digest]*Tenant{}, byName: map[string]*Tenant{}}
	for index := range declarations {
		directory.byName[declarations[index].Name] = &declarations[index].Tenant
		for _, key := range declarations[index].APIKeys {
			keyDigest := digest(sha256.Sum256([]byte(key)))
			if _, indexed := directory.byKey[keyDigest]; !indexed {
				directory.byKey[keyDigest] = &declarations[index].Tenant
			}
		}
	}
	return directory
}

// ByKey returns the tenant with the API key; nil if there is none.
func (d *Directory) ByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return d.byKey[digest(sha256.Sum256([]byte(key)))]
}

// ByName returns the tenant with the name; nil if there is none.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// All returns every tenant once, in no particular order.
func (d *Directory) All() iter.Seq[*Tenant] { return maps.Values(d.byName) }
