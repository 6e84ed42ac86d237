package replica_test

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestNothingIsSentToAReplicaThatLeft: a request is sent to a replica some time after the replica was picked, in which the replica has
// begun to drain or has gone. It must not be sent: neither on a connection that was being made then, nor on an idle one.
func TestNothingIsSentToAReplicaThatLeft(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	info := replica.Info{ID: "a", Service: "s", Zone: "z", Address: address, Slots: 1}
	draining := info
	draining.Draining = true
	for _, test := range []struct {
		name  string
		leave func(directory *replica.Directory)
	}{
		{"draining", func(directory *replica.Directory) { directory.Update([]replica.Info{draining}, nil) }},
		{"gone", func(directory *replica.Directory) { directory.Update(nil, []string{"a"}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &interruptedNetwork{Network: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{
					address: replicatest.Answer(http.StatusOK, replicatest.Signed+"Keep-Alive: timeout=5\r\n", "ok"),
				}}}
				defer network.CloseAll()
				client := replica.NewClient(network, replicatest.Headers)
				send := func(handle *replica.Handle) error {
					answer, err := client.Do(t.Context(), handle, replica.Call{Method: http.MethodGet, Target: "/", Host: "h"})
					if err != nil {
						return err
					}
					_, err = io.ReadAll(answer.Body)
					answer.Close(err == nil)
					return err
				}
				wantNotSent := func(when string, err error, sentBefore int) {
					if !errors.Is(err, replica.ErrNotSent) || !errors.Is(err, replica.ErrLeaving) {
						t.Errorf("%s: error %v, want ErrNotSent and ErrLeaving", when, err)
					}
					if got := len(network.Requests()); got != sentBefore {
						t.Errorf("%s: %d requests reached the replica, want %d", when, got, sentBefore)
					}
				}
				directory := replica.NewDirectory()
				directory.Replace([]replica.Info{info})
				network.during = func() { test.leave(directory) }
				wantNotSent("while the connection is made", send(directory.View().Find("a")), 0)

				network.during = nil
				directory = replica.NewDirectory()
				directory.Replace([]replica.Info{info})
				picked := directory.View().Find("a")
				if err := send(picked); err != nil {
					t.Fatal(err)
				}
				test.leave(directory)
				wantNotSent("on an idle connection", send(picked), 1)
			})
		})
	}
}
