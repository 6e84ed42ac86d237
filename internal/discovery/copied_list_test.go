package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/route"
)

// TestRelayGoesOnWithItsCopy: a node with a data folder that was a relay has the long list by its copy right after its start, and keeps it though
// it does not know the others yet, so that these get their parts at once; one that is no relay by what it knows drops the list.
func TestRelayGoesOnWithItsCopy(t *testing.T) {
	for _, test := range []struct {
		name   string
		view   *membership.View
		wanted bool
	}{
		{"a relay alone", &membership.View{Self: "a", Members: []membership.Member{{ID: "a", Zone: "z1", Store: true}}}, true},
		{"without a data folder", &membership.View{Self: "a", Members: []membership.Member{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1", Store: true}}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, copies := newBoundedStore(fleetBytesPerSecond, fleetReads), suppliedCopies{}
				store.setDown(true)
				fleet := newTestFleet(t, store, 1)
				node := fleet.nodes[0]
				node.directory = replica.NewDirectory()
				viewer := &fixedViewer{view: *test.view}
				all, keeper := roster.New(), roster.NewKeeper(node.directory)
				service := New(Options{
					Store: store, Translator: fleetTranslator{}, Routes: route.NewHolder(), Directory: node.directory, Viewer: viewer, Reporter: viewer,
					Copies: copies, Roster: all, Keeper: keeper, Node: "a", Zone: "z1", Logger: zerolog.Nop(),
					Relays: roster.NewFollower(roster.FollowerOptions{Node: "a", Zone: "z1", Caller: noCaller{}, Viewer: viewer, Keeper: keeper, Logger: zerolog.Nop()}),
				})
				service.Start()
				synctest.Wait()
				copied := platform.Listing{Revision: 7}
				for number := range 2 * roster.MostKeptByEach {
					copied.Entries = append(copied.Entries, platform.Entry{Key: replicaKey(number), Value: []byte(replicaValue(number)), ModRevision: 7})
				}
				copies["replicas/"](copied)
				time.Sleep(2 * roleInterval)
				if all.Loaded() != test.wanted {
					t.Errorf("the list is kept: %t, want %t", all.Loaded(), test.wanted)
				}
				if node.usable() != partOf() {
					t.Errorf("%d replicas are known, want a part of %d", node.usable(), partOf())
				}
				service.Stop()
			})
		})
	}
}
