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

// TestRelayGoesOnWithItsCopy checks that a node with a data folder, which has the long list from its copy right after its start, keeps it
// though it does not know the other members yet, so that these can get their parts at once. A node that is no relay by its own view drops
// the list.
func TestRelayGoesOnWithItsCopy(t *testing.T) {
	for _, test := range []struct {
		name      string
		view      *membership.View
		keepsList bool
	}{
		{"a relay alone", &membership.View{Self: "a", Members: []membership.Member{{ID: "a", Zone: "z1", Store: true}}}, true},
		{"without a data folder", &membership.View{Self: "a", Members: []membership.Member{
			{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1", Store: true},
		}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, copies := newBoundedStore(fleetBytesPerSecond, fleetReadsPerSecond), suppliedCopies{}
				store.setDown(true)
				fleet := newTestFleet(t, store, 1)
				node := fleet.nodes[0]
				node.directory = replica.NewDirectory()
				viewer := &fixedViewer{view: *test.view}
				all, keeper := roster.New(), roster.NewKeeper(node.directory)
				service := New(Options{
					Store: store, Translator: fleetTranslator{}, Routes: route.NewHolder(), Directory: node.directory,
					Viewer: viewer, Reporter: viewer,
					Copies: copies, Roster: all, Keeper: keeper, Node: "a", Zone: "z1", Logger: zerolog.Nop(),
					Relays: roster.NewFollower(roster.FollowerOptions{
						Node: "a", Zone: "z1", Caller: unreachableCaller{}, Viewer: viewer, Keeper: keeper, Logger: zerolog.Nop(),
					}),
				})
				service.Start()
				synctest.Wait()
				copied := platform.Listing{Revision: 7}
				for number := range 2 * roster.MaxFullList {
					copied.Entries = append(copied.Entries, platform.Entry{
						Key: replicaKey(number), Value: []byte(replicaValue(number)), ModRevision: 7,
					})
				}
				copies["replicas/"](copied)
				time.Sleep(2 * roleCheckInterval)
				if all.Loaded() != test.keepsList {
					t.Errorf("whole list is kept: %t, want %t", all.Loaded(), test.keepsList)
				}
				if node.usable() != minPartSize() {
					t.Errorf("%d usable replicas, want a part of %d", node.usable(), minPartSize())
				}
				service.Stop()
			})
		})
	}
}
