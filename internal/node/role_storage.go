package node

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/discovery"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/retirement"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// batchMemoryShare is the fraction of the process's memory that bodies and results of batch jobs may use.
	batchMemoryShare = 0.3
	// defaultMemoryMegabytes and defaultKeepResults apply if the settings do not set them.
	defaultMemoryMegabytes = 512
	defaultKeepResults     = 10 * time.Minute
)

func newBatchService(
	nodeSettings settings.Settings,
	adapter Adapter,
	routes *route.Holder,
	directory *replica.Directory,
	shared *loadshare.Service,
	picker *balance.Picker,
	client *replica.Client,
	coldStarts *coldstart.Service,
	register *quarantine.Service,
	registrar transport.Registrar,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) (*batch.Service, error) {
	memory := cmp.Or(nodeSettings.Limits.MemoryMegabytes, defaultMemoryMegabytes)
	service := batch.NewService(batch.Options{
		Zone: nodeSettings.Zone, MaxBytes: int64(float64(memory<<20) * batchMemoryShare),
		KeepResults: cmp.Or(nodeSettings.Bounds.Poll, defaultKeepResults), Report: adapter.Report, ColdStarts: coldStarts, Quarantine: register,
	}, routes, directory, shared, picker, client, registrar, logger)
	return service, registerer.Register(service)
}

// followRetirements empties storage nodes when operators request it.
func followRetirements(
	lifecycle fx.Lifecycle,
	operators *discovery.Service,
	store platform.KeyValue,
	adapter Adapter,
	manager *ledger.Manager,
	members *membership.Service,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) {
	service := retirement.New(store, adapter.Translator, manager, members, registerer, logger)
	operators.FollowOperators(service)
	lifecycle.Append(fx.StopHook(service.Stop))
}

// followHomes lets the owners of partitions know of changes of homes.
func followHomes(service *batch.Service, homes ledger.ConfinedLocator) { service.SetHomes(homes) }

// yieldToOnline makes batch items yield capacity as soon as other nodes report more online requests.
func yieldToOnline(shared *loadshare.Service, service *batch.Service) {
	shared.SetOwner(service.HasWork, service.OnlineChanged)
}
