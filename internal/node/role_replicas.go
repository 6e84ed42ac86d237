package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/origin"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

func newReplicaClient(adapter Adapter, via network.Network) *replica.Client {
	return replica.NewClient(via, adapter.Headers)
}

func newPicker(nodeSettings settings.Settings, directory *replica.Directory) *balance.Picker {
	return balance.NewPicker(directory, nodeSettings.Topology(), nil)
}

// newLoadShare returns the constructor of the service through which nodes share how many requests each has at the replicas.
func newLoadShare(kind loadsharepb.Kind) any {
	return func(
		lifecycle fx.Lifecycle,
		nodeSettings settings.Settings,
		directory *replica.Directory,
		members *membership.Service,
		caller transport.Caller,
		registrar transport.Registrar,
		logger zerolog.Logger,
	) *loadshare.Service {
		service := loadshare.New(loadshare.Options{Zone: nodeSettings.Zone, Kind: kind}, directory, members, caller, registrar, logger)
		lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
		return service
	}
}

// newColdStarts returns the service that limits requests to cold replicas. Storage nodes send them none: batch items wait for warm
// replicas.
func newColdStarts(
	lifecycle fx.Lifecycle,
	nodeSettings settings.Settings,
	routes *route.Holder,
	directory *replica.Directory,
	store platform.KeyValue,
	members *membership.Service,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) *coldstart.Service {
	options := coldstart.Options{
		Bounds: coldstart.Bounds{Burst: nodeSettings.Bounds.ColdBurst, Slack: nodeSettings.Bounds.ColdSlack},
		Routes: routes, Directory: directory, Viewer: members, Registerer: registerer, Logger: logger,
	}
	if nodeSettings.Role != settings.RoleStorage {
		options.Store = store
	}
	service := coldstart.New(options)
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}

// newQuarantine returns the service that keeps messages which crash replicas away from them.
func newQuarantine(
	lifecycle fx.Lifecycle,
	via network.Network,
	directory *replica.Directory,
	store platform.KeyValue,
	members *membership.Service,
	caller transport.Caller,
	registrar transport.Registrar,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) *quarantine.Service {
	service := quarantine.NewService(quarantine.Options{
		Network: via, Directory: directory, Viewer: members, Store: store, Caller: caller, Registrar: registrar, Registerer: registerer, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}

// newOrigins returns the service that keeps which software began the streams of callers.
func newOrigins(
	lifecycle fx.Lifecycle,
	nodeSettings settings.Settings,
	members *membership.Service,
	caller transport.Caller,
	registrar transport.Registrar,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) *origin.Service {
	service := origin.NewService(origin.Options{
		Viewer: members, Caller: caller, Registrar: registrar, DataFolder: nodeSettings.DataFolder, Registerer: registerer, Logger: logger,
	})
	lifecycle.Append(fx.StartStopHook(service.Start, service.Stop))
	return service
}
