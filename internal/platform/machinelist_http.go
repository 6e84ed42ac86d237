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
	caller  *httpCaller
	timeout *adaptiveTimeout
}

var _ MachineList = (*MachineListHTTP)(nil)

// NewMachineListHTTP returns an adapter; it connects on first use.
func NewMachineListHTTP(dialer network.Network, address netip.AddrPort) *MachineListHTTP {
	return &MachineListHTTP{caller: newHTTPCaller(dialer, addressesOf(address)), timeout: newAdaptiveTimeout()}
}

// Close closes idle connections.
func (m *MachineListHTTP) Close() { m.caller.close() }

// List returns the current listing. A replica must get no new work 2 s after it is listed as leaving, so a connection that went silent
// must delay the listing by less than that. With the 5 s timeout of other calls the delay was 2.8 s; the adaptive timeout avoids it.
func (m *MachineListHTTP) List(ctx context.Context) (MachineListing, error) {
	var listing MachineListing
	err := m.timeout.call(ctx, 0, m.caller, func(ctx context.Context, _ func()) error {
		return m.caller.get(ctx, PathMachines, &listing)
	})
	return listing, err
}

// addressesOf returns no address if none is set, so that each call fails with KindUnavailable.
func addressesOf(address netip.AddrPort) []netip.AddrPort {
	if !address.IsValid() {
		return nil
	}
	return []netip.AddrPort{address}
}
