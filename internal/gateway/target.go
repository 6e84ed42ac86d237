package gateway

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// target is the service, model and adapter that a caller's "model" refers to.
type target struct {
	service *config.Service
	model   *config.Model
	adapter string
}

// mayUse reports whether the tenant may use the service. A tenant without a list of services may
// use all.
func mayUse(tenant *config.Tenant, service string) bool {
	return len(tenant.Services) == 0 || slices.Contains(tenant.Services, service)
}

// resolveTarget returns the target of a caller's "model", which is "service/model", "model" or
// "service" (its first model), each with an optional ":adapter", or the name of an adapter alone.
// If several of the tenant's services have a name, the first of them in order of service names is
// used.
func resolveTarget(snapshot *config.Snapshot, tenant *config.Tenant, name string) (target, error) {
	base, adapter := engine.SplitModel(name)
	serviceName, modelName, qualified := strings.Cut(base, "/")
	if !qualified {
		serviceName, modelName = resolveUnqualified(snapshot, tenant, base)
	}
	if serviceName == "" && adapter == "" {
		serviceName, modelName = adapterOwner(snapshot, tenant, base)
		adapter = base
	}
	service, model := snapshot.Services[serviceName], snapshot.Models[modelName]
	if service == nil || model == nil || !mayUse(tenant, serviceName) || !slices.Contains(service.Models, modelName) {
		return target{}, notFound(fmt.Sprintf("model %q is not served to this tenant", name))
	}
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return target{}, notFound(fmt.Sprintf("model %q has no adapter %q", modelName, adapter))
	}
	return target{service: service, model: model, adapter: adapter}, nil
}

// resolveUnqualified returns the service and model for a name without "/"; service is empty if
// there is none.
func resolveUnqualified(snapshot *config.Snapshot, tenant *config.Tenant, name string) (service, model string) {
	if named := snapshot.Services[name]; named != nil && len(named.Models) > 0 {
		return name, named.Models[0]
	}
	for candidate, declared := range snapshot.Services {
		if slices.Contains(declared.Models, name) && mayUse(tenant, candidate) && (service == "" || candidate < service) {
			service = candidate
		}
	}
	return service, name
}

// adapterOwner returns the first of the tenant's services, by name, with a model that has the
// adapter.
func adapterOwner(snapshot *config.Snapshot, tenant *config.Tenant, adapter string) (service, model string) {
	for _, candidate := range tenantServices(snapshot, tenant) {
		for _, name := range candidate.Models {
			if declared := snapshot.Models[name]; declared != nil && slices.Contains(declared.Adapters, adapter) {
				return candidate.Name, name
			}
		}
	}
	return "", ""
}

// tenantServices returns the tenant's services, sorted by name.
func tenantServices(snapshot *config.Snapshot, tenant *config.Tenant) []*config.Service {
	var services []*config.Service
	for name, service := range snapshot.Services {
		if mayUse(tenant, name) {
			services = append(services, service)
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

// defaultTiers holds the values of "service_tier" that mean the default priority.
var defaultTiers = []string{"", "auto", "default"}

// resolvePriority returns a declared priority: the header's, else the service tier's, else the lowest
// one for online or batch requests.
func resolvePriority(snapshot *config.Snapshot, header, tier string, online bool) (*config.Priority, error) {
	name := header
	if name == "" && !slices.Contains(defaultTiers, tier) {
		name = tier
	}
	if name == "" {
		return lowestPriority(snapshot, online)
	}
	priority := snapshot.Priorities[name]
	if priority == nil {
		return nil, invalid(fmt.Sprintf("priority %q is not declared", name))
	}
	if priority.Online != online {
		return nil, invalid(fmt.Sprintf("priority %q has online: %t and cannot be used here", name, priority.Online))
	}
	return priority, nil
}

func lowestPriority(snapshot *config.Snapshot, online bool) (*config.Priority, error) {
	var lowest *config.Priority
	for _, priority := range snapshot.Priorities {
		if priority.Online != online {
			continue
		}
		if lowest == nil || priority.Rank < lowest.Rank || priority.Rank == lowest.Rank && priority.Name < lowest.Name {
			lowest = priority
		}
	}
	if lowest == nil {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no fitting priority is declared").After(defaultRetryAfter)
	}
	return lowest, nil
}
