package route

import (
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/tenant"
)

// Kind is whether the requests of a route may be repeated, and how they are answered.
type Kind int

// Kinds of routes.
const (
	// NotRepeatable requests run at most once per attempt of the caller.
	NotRepeatable Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered with a stream of events.
	Stream
	// Batch routes accept jobs of many items that run asynchronously.
	Batch
)

// Backend is a service that receives a share of a route's traffic.
type Backend struct {
	Service string
	// Weight is the share of the traffic, relative to the sum of all weights.
	Weight float64
}

// Route is one rule of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends has at least one element.
	Backends []Backend
	// Attempts is the maximum number of replicas that may run one attempt of the caller.
	Attempts int
	// Timeout limits the time of an attempt of the caller; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective of the response: of its header, or of the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest gap between events of a stream that meets the objective.
	GapObjective time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Affinity is set if requests name the parts of their prompts.
	Affinity bool
	// Resumable streams may continue on another replica after the last event.
	Resumable bool
	// CompletionTarget is the time in which all results of a job should be complete, Retention the time
	// after which an unfinished item may be abandoned; both count from the submission.
	CompletionTarget time.Duration
	Retention        time.Duration
	// Public routes require no API key.
	Public bool
	// MaxWaitingTokens limits the tokens of the unfinished items of all jobs of one tenant together, or of all jobs if no tenants are
	// declared; 0 means no limit.
	MaxWaitingTokens int64
	// Regions are the regions in which requests may be served, cached and stored.
	Regions region.Set

	picker *weightedPicker
}

// MayRepeat reports whether a request may run again although it may have run already.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service for the next request, so that each backend gets its share.
func (r *Route) PickService() string { return r.picker.next() }

// Service describes the replicas of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all callers.
	MaxConnections int
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// MaxQueued is the number of requests that a replica queues.
	MaxQueued int
	// CacheTokens is the capacity of a replica's KV cache, in tokens.
	CacheTokens int64
	// ColdStart is how long a replica that starts during traffic stays cold. ColdRequestsPerSecond is the request rate that it can serve
	// meanwhile, from all nodes together; if it is 0, cold replicas may get as many requests as warm ones.
	ColdStart             time.Duration
	ColdRequestsPerSecond float64
}

// Limits are the limits of requests and connections of callers.
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
	// Tenants finds tenants by API key; nil if the configuration declares no tenants, and no request needs a key.
	Tenants *tenant.Directory

	byHost map[string][]*Route
}

// NewTable returns a Table with an index of the routes by host. It takes over the given values.
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

// Match returns the route of host with the longest prefix of path; nil if there is none. A port after the host is
// ignored.
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

// Authenticate reports whether a request on the matched route with key, which may be empty, may be served. owner is the tenant that owns the
// key; nil if there is none.
func (t *Table) Authenticate(matched *Route, key string) (owner *tenant.Tenant, allowed bool) {
	if t.Tenants == nil {
		return nil, true
	}
	owner = t.Tenants.ByKey(key)
	return owner, owner != nil || (matched != nil && matched.Public)
}

// MatchBatch returns the batch route of host, for calls that name a job instead of a path; nil if there is none.
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
