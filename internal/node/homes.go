package node

import (
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/route"
)

// followHomes has the ledger keep batch jobs in the regions that the configuration in force allows.
func followHomes(lifecycle fx.Lifecycle, routes *route.Holder, manager *ledger.Manager) {
	take := func(table *route.Table) {
		var confined []ledger.Confined
		for _, home := range table.BatchHomes() {
			confined = append(confined, ledger.Confined{Key: home.Host, Regions: home.Regions})
		}
		manager.SetConfined(confined)
	}
	remove := routes.Subscribe(take)
	lifecycle.Append(fx.StopHook(remove))
}
