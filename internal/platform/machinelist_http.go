package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/sloelift/sloelift/internal/network"
)

// PathMachines is the path of the machine list.
const PathMachines = "/v1/machines"

// MachineListHTTP is the adapter of MachineList over HTTP JSON.
type MachineListHTTP struct {
	exchanger *Exchanger
	address   netip.AddrPort
}

var _ MachineList = (*MachineListHTTP)(nil)

// NewMachineListHTTP returns an adapter; it connects on first use.
func NewMachineListHTTP(dialer network.Network, address netip.AddrPort) *MachineListHTTP {
	exchanger := NewExchanger(dialer, address)
	exchanger.ProbeBy(PathMachines)
	return &MachineListHTTP{exchanger: exchanger, address: address}
}

// Close closes idle connections.
func (m *MachineListHTTP) Close() { m.exchanger.Close() }

// List returns the current listing. A replica must get no new work 2 s after it is listed as leaving, so a connection that went silent, or
// a service that recovers, must delay the listing by less than that.
func (m *MachineListHTTP) List(ctx context.Context) (MachineListing, error) {
	if !m.address.IsValid() {
		return MachineListing{}, KindUnavailable.New("no address is set for this service")
	}
	status, body, err := m.exchanger.Read(ctx, http.MethodGet, PathMachines)
	if err != nil {
		return MachineListing{}, err
	}
	if status != http.StatusOK {
		return MachineListing{}, machineListError(m.address, status)
	}
	var listing MachineListing
	if err := json.Unmarshal(body, &listing); err != nil {
		return MachineListing{}, KindUnavailable.Wrap(err, "decode the answer of %s", m.address)
	}
	return listing, nil
}

// machineListError converts an error status to an error.
func machineListError(address netip.AddrPort, status int) error {
	switch {
	case status == http.StatusTooManyRequests:
		return KindRateLimited.New("%s: status %d", address, status)
	case status < http.StatusInternalServerError:
		return KindRefused.New("%s: status %d", address, status)
	default:
		return KindUnavailable.New("%s: status %d", address, status)
	}
}
