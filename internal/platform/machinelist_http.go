package platform

import (
	"context"
	"net/netip"

	"github.com/sloelift/sloelift/internal/network"
)

// PathMachines is the path of the machine list.
const PathMachines = "/v1/machines"

// MachineListHTTP is the adapter of MachineList over HTTP JSON.
type MachineListHTTP struct {
	caller   *httpCaller
	patience *patience
}

var _ MachineList = (*MachineListHTTP)(nil)

// NewMachineListHTTP returns an adapter; it connects on first use.
func NewMachineListHTTP(dialer network.Network, address netip.AddrPort) *MachineListHTTP {
	return &MachineListHTTP{caller: newHTTPCaller(dialer, addressesOf(address)), patience: newPatience()}
}

// Close drops idle connections.
func (m *MachineListHTTP) Close() { m.caller.close() }

// List returns the present listing. A leaving replica gets no new work 2 s after it is listed, so that a connection that went silent must
// cost less than that; with the 5 s of other calls it took 2.8 s.
func (m *MachineListHTTP) List(ctx context.Context) (MachineListing, error) {
	var listing MachineListing
	err := m.patience.call(ctx, 0, m.caller, func(ctx context.Context, _ func()) error {
		return m.caller.get(ctx, PathMachines, &listing)
	})
	return listing, err
}

// addressesOf is empty where no address is set, which makes each call KindUnavailable.
func addressesOf(address netip.AddrPort) []netip.AddrPort {
	if !address.IsValid() {
		return nil
	}
	return []netip.AddrPort{address}
}
