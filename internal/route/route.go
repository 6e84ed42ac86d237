package route

import (
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/tenant"
)

// Kind says how often a request of a route may run, and in which form it is answered.
type Kind int

// Kinds of routes.
const (
	// NotRepeatable requests run at most once for each attempt of the caller.
	NotRepeatable Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered with a series of events.
	Stream
	// Batch routes take jobs of many items that run later.
	Batch
)

// Backend is one part of a route's traffic.
type Backend struct {
	Service string
	// Weight is the part's share in relation to the sum of all weights.
	Weight float64
}

// Route is one rule of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends holds at least one part.
	Backends []Backend
	// Attempts is the largest number of replicas that may run one attempt of the caller.
	Attempts int
	// Timeout is the longest time that an attempt is held; zero is no bound.
	Timeout time.Duration
	// Objective is the time in which an answer is wanted: its head, or the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between events that is still in time.
	GapObjective time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Affinity says that requests name the parts of their prompts.
	Affinity bool
	// Resumable streams may go on at another replica behind the last event.
	Resumable bool
	// CompletionTarget is the time in which all results of a job are wanted, Retention the time
	// after which an item may be given up; both count from the submission.
	CompletionTarget time.Duration
	Retention        time.Duration
	// Public routes ask for no API key.
	Public bool
	// MaxWaitingTokens bounds the tokens of unfinished items of all jobs of one tenant together, or of all jobs where no tenants are
	// declared; zero is no bound.
	MaxWaitingTokens int64
	// Regions are where requests may be served, cached and stored.
	Regions region.Set

	picker *weightedPicker
}

// MayRepeat says that a request may run again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service of the next request, so that each part gets its share.
func (r *Route) PickService() string { return r.picker.next() }

// Service holds the terms of a service's replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one replica takes from all callers.
	MaxConnections int
	// Slots is the number of requests that a replica works on at once.
	Slots int
	// MaxQueued is the number of requests that a replica queues.
	MaxQueued int
	// CacheTokens is the memory of a replica.
	CacheTokens int64
	// ColdStart is how long a replica stays cold after a start during traffic, ColdRequestsPerSecond what it can take meanwhile, from all
	// nodes together. Where the latter is 0, cold replicas may get as much as warm ones.
	ColdStart             time.Duration
	ColdRequestsPerSecond float64
}

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is immutable after NewTable.
type Table struct {
	Version  int64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Tenants hold the API keys; nil where the configuration declares no tenants and no request needs a key.
	Tenants *tenant.Directory

	byHost map[string][]*Route
}

// NewTable indexes routes. It keeps the given values.
func NewTable(version int64, routes []*Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)), byHost: make(map[string][]*Route),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for _, route := range routes {
		route.picker = newWeightedPicker(route.Backends)
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	return table
}

// Match returns the route of host whose prefix is the longest that begins path; nil where there is none.
// A port behind the host does not count.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[HostName(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best
}

// Authenticate says whether a request of a route may be served that carries key, which may be empty, and for which tenant; holder is nil
// where no tenant holds the key.
func (t *Table) Authenticate(matched *Route, key string) (holder *tenant.Tenant, allowed bool) {
	if t.Tenants == nil {
		return nil, true
	}
	holder = t.Tenants.ByKey(key)
	return holder, holder != nil || (matched != nil && matched.Public)
}

// MatchBatch returns the batch route that calls about jobs of host belong to; nil where there is none. Such calls name a job and no path.
func (t *Table) MatchBatch(host string) *Route {
	for _, route := range t.byHost[HostName(host)] {
		if route.Kind == Batch {
			return route
		}
	}
	return nil
}

// HostName returns host in lower case without its port.
func HostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
