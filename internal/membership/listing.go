package membership

import (
	"net/netip"
	"sort"

	"github.com/sloelift/sloelift/internal/platform"
)

// takeListing joins the lagging machine list with own evidence. Listed nodes that are
// not known become contacts; a listed leave counts from the first sign; an unlisted
// member that answers stays.
func (p *protocol) takeListing(machines []platform.Machine) {
	p.haveListing = true
	p.listed = make(map[NodeID]netip.AddrPort, len(machines))
	p.listedLeaving = make(map[NodeID]bool)
	for _, machine := range machines {
		if machine.Role != platform.RoleNode {
			continue
		}
		id := NodeID(machine.ID)
		p.listed[id] = machine.Address
		if machine.State == platform.MachineLeaving {
			p.listedLeaving[id] = true
		}
	}
	p.changed, p.urgent = true, true
}

func sortAddresses(addresses []netip.AddrPort) {
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Compare(addresses[j]) < 0 })
}
