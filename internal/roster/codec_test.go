package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// TestRelayedReplicaKeepsAllFields guards against a field of an entry that nodes lose which follow a part of the replicas.
func TestRelayedReplicaKeepsAllFields(t *testing.T) {
	info := replica.Info{
		ID: "r-1", Born: 7, Service: "s", Version: "v2", Address: netip.MustParseAddrPort("10.1.0.9:80"), Zone: "z", Slots: 4, Draining: true,
		ColdFor: time.Second,
	}
	if decoded, err := decode(encode(info)); err != nil || decoded != info {
		t.Errorf("decoded %+v, %v; want %+v", decoded, err, info)
	}
}
