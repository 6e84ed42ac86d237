package tenant

import (
	"crypto/sha256"
	"iter"
	"maps"

	"github.com/sloelift/sloelift/internal/region"
)

// Limit bounds the requests of one tenant over all nodes together. Its zero value is no limit.
type Limit struct {
	// RequestsPerSecond is the rate that a tenant may keep up; 0 is no limit.
	RequestsPerSecond float64
	// Burst is the number of requests that may come on top of the rate.
	Burst float64
}

// Unlimited says that the limit refuses nothing.
func (l Limit) Unlimited() bool { return l.RequestsPerSecond <= 0 }

// Tenant is one customer of the system.
type Tenant struct {
	Name  string
	Limit Limit
	// Priority takes precedence over that of a route, 0 being the highest; nil where the tenant has none of its own.
	Priority *int
	// Regions are where the tenant's requests may be served, cached and stored.
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

// NewDirectory indexes the declared tenants. A key that two of them declare belongs to the first.
func NewDirectory(declared []Declaration) *Directory {
	directory := &Directory{byKey: map[digest]*Tenant{}, byName: map[string]*Tenant{}}
	for index := range declared {
		directory.byName[declared[index].Name] = &declared[index].Tenant
		for _, key := range declared[index].APIKeys {
			hashed := digest(sha256.Sum256([]byte(key)))
			if _, taken := directory.byKey[hashed]; !taken {
				directory.byKey[hashed] = &declared[index].Tenant
			}
		}
	}
	return directory
}

// ByKey returns the tenant that holds key; nil where none does.
func (d *Directory) ByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return d.byKey[digest(sha256.Sum256([]byte(key)))]
}

// ByName returns the tenant of that name; nil where none is declared.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// All returns every tenant once, in no order.
func (d *Directory) All() iter.Seq[*Tenant] { return maps.Values(d.byName) }
