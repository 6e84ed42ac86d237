package platform

import (
	"context"
	"net/netip"
	"net/url"

	"github.com/sloelift/sloelift/internal/network"
)

// PathWeights is the path prefix under which the weight store serves its versions.
const PathWeights = "/v1/weights"

// FetchReservation is the body of POST /v1/weights/{name}/{version}/reservations.
type FetchReservation struct {
	Replica string `json:"replica"`
}

// WeightStoreHTTP is the adapter of WeightStore over HTTP JSON.
type WeightStoreHTTP struct{ caller *httpCaller }

var _ WeightStore = (*WeightStoreHTTP)(nil)

// NewWeightStoreHTTP returns an adapter; it connects on first use.
func NewWeightStoreHTTP(dialer network.Network, address netip.AddrPort) *WeightStoreHTTP {
	return &WeightStoreHTTP{caller: newHTTPCaller(dialer, addressesOf(address))}
}

// Close closes idle connections.
func (w *WeightStoreHTTP) Close() { w.caller.close() }

// Describe returns one version; if it does not exist, the error is of KindRefused.
func (w *WeightStoreHTTP) Describe(ctx context.Context, name, version string) (Weights, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var weights Weights
	err := w.caller.get(ctx, versionPath(name, version), &weights)
	return weights, err
}

// ReserveFetch reserves a fetch for one replica. A reservation whose answer is lost only
// goes unused, so the call may be repeated.
func (w *WeightStoreHTTP) ReserveFetch(ctx context.Context, name, version, replica string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := versionPath(name, version) + "/reservations"
	return w.caller.post(ctx, path, readsOnly, FetchReservation{Replica: replica}, nil)
}

func versionPath(name, version string) string {
	return PathWeights + "/" + url.PathEscape(name) + "/" + url.PathEscape(version)
}

// addressesOf returns no address if none is set, so that each call fails with KindUnavailable.
func addressesOf(address netip.AddrPort) []netip.AddrPort {
	if !address.IsValid() {
		return nil
	}
	return []netip.AddrPort{address}
}
