package node

import (
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/route"
)

// followBatchRegions makes the ledger keep batch jobs in the regions that the current configuration allows.
func followBatchRegions(lifecycle fx.Lifecycle, routes *route.Holder, manager *ledger.Manager) {
	apply := func(table *route.Table) {
		var confined []ledger.Confined
		for _, batchHome := range table.ConfinedBatchHosts() {
			confined = append(confined, ledger.Confined{Key: batchHome.Host, Regions: batchHome.Regions})
		}
		manager.SetConfined(confined)
	}
	unsubscribe := routes.Subscribe(apply)
	lifecycle.Append(fx.StopHook(unsubscribe))
}
