package membership

import (
	"net/netip"
	"sort"

	"github.com/sloelift/sloelift/internal/platform"
)

// takeListing takes in the machine list, which may lag behind what the protocol has observed.
// Listed nodes that are not known become addresses to contact. A machine that is listed as leaving
// is published as Leaving at once. A member that the list lacks is kept as long as it answers.
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
	p.viewChanged, p.publishUrgent = true, true
}

func sortAddresses(addresses []netip.AddrPort) {
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Compare(addresses[j]) < 0 })
}
