package node

import (
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/config/relay"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/gateway"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/placement"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/transport"
)

// Slices holds the modules of all slices of a node, lower layers first.
var Slices = fx.Options(
	transport.Module,
	platform.Module,
	membership.Module,
	config.Module,
	relay.Module,
	engine.Module,
	fleet.Module,
	routing.Module,
	admission.Module,
	placement.Module,
	ledger.Module,
	job.Module,
	session.Module,
	gateway.Module,
	operator.Module,
	fx.Provide(func(members *membership.Service) relay.RevisionReporter { return members }),
	fx.Invoke(announceStore),
)

// announceStore publishes the incarnation of this node's disk to the other nodes, if it has one.
func announceStore(members *membership.Service, disk *ledger.Disk) {
	if incarnation := disk.Incarnation(); incarnation != "" {
		members.SetStore(incarnation)
	}
}
