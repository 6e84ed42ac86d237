package replica_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// interruptedNetwork calls during, if set, in each Dial.
type interruptedNetwork struct {
	*replicatest.Network
	during func()
}

func (n *interruptedNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if n.during != nil {
		n.during()
	}
	return n.Network.Dial(ctx, address)
}

// TestNothingIsSentToAnEvacuatedZone checks that no request is sent to an evacuated zone: not on a new connection, not on one that was
// being made when the evacuation began, and not on an idle one. After the evacuation requests are sent there again.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		address := netip.MustParseAddrPort("127.0.0.1:1000")
		network := &interruptedNetwork{Network: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{
			address: replicatest.Answer(http.StatusOK, replicatest.Signed+"Keep-Alive: timeout=5\r\n", "ok"),
		}}}
		defer network.CloseAll()
		directory := replica.NewDirectory()
		directory.Replace([]replica.Info{{ID: "a", Service: "s", Zone: "z", Address: address, Slots: 1}})
		client := replica.NewClient(network, replicatest.Headers)
		handle := directory.View().Find("a")
		send := func() error {
			answer, err := client.Do(t.Context(), handle, replica.Call{Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				return err
			}
			_, err = io.ReadAll(answer.Body)
			answer.Close(err == nil)
			return err
		}
		evacuated := map[string]bool{"z": true}
		wantEvacuated := func(when string) {
			if err := send(); !errors.Is(err, replica.ErrEvacuated) || !errors.Is(err, replica.ErrNotSent) {
				t.Errorf("request %s: error %v, want ErrEvacuated and ErrNotSent", when, err)
			}
		}
		network.during = func() { directory.SetEvacuated(evacuated) }
		wantEvacuated("while the connection is made")
		network.during = nil
		wantEvacuated("before the connection is made")
		directory.SetEvacuated(nil)
		if err := send(); err != nil {
			t.Errorf("request after the evacuation: %v", err)
		}
		directory.SetEvacuated(evacuated)
		wantEvacuated("on an idle connection")
		if got := len(network.Requests()); got != 1 {
			t.Errorf("%d requests reached the replica, want 1", got)
		}
	})
}
