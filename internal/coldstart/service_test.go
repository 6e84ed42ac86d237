package coldstart

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// newSingleNode returns a node that knows no other nodes.
func newSingleNode(store *memoryStore) (*Service, *replica.Directory, *route.Holder) {
	directory, routes := replica.NewDirectory(), route.NewHolder()
	service := New(Options{
		Bounds: Bounds{Burst: 1.5, Slack: 5}, Routes: routes, Directory: directory, Store: faultless(store),
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
		Viewer: membershiptest.NewViewer(&membership.View{Self: "edge-00", Members: testMembers(1)}),
	})
	return service, directory, routes
}

func tableOf(version int64, requestsPerSecond float64) *route.Table {
	services := []route.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRequestsPerSecond: requestsPerSecond}}
	return route.NewTable(version, nil, services, route.Limits{})
}

// TestServicesThatDeclareNothingAreNotBounded covers a configuration that is loaded before and after the replicas and the start.
func TestServicesThatDeclareNothingAreNotBounded(t *testing.T) {
	t.Parallel()
	for name, configuredFirst := range map[string]bool{"configuration before the start": true, "configuration after the start": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				service, directory, routes := newSingleNode(store)
				directory.Replace(nil)
				directory.Update([]replica.Info{{ID: "r", Service: "s", ColdFor: 3 * time.Second}}, nil)
				if configuredFirst {
					routes.Offer(tableOf(1, 0))
				}
				service.Start()
				defer service.Stop()
				if !configuredFirst {
					routes.Offer(tableOf(1, 0))
				}
				handle := directory.View().Find("r")
				for range 50 {
					if !handle.ColdRoom(time.Now()) || !service.Take(handle) {
						t.Fatal("a request was refused")
					}
				}
				time.Sleep(time.Second)
				if handle.ColdBounded() || store.writes > 0 {
					t.Errorf("bounded %t, %d writes to the key-value service", handle.ColdBounded(), store.writes)
				}
			})
		})
	}
}

// TestNothingIsClaimedThatNobodyWants: a replica that turns cold without demand causes no call to the key-value service.
func TestNothingIsClaimedThatNobodyWants(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		service, directory, routes := newSingleNode(store)
		routes.Offer(tableOf(1, 4))
		directory.Replace(nil)
		service.Start()
		defer service.Stop()
		directory.Update([]replica.Info{{ID: "r", Service: "s"}}, nil)
		handle := directory.View().Find("r")
		time.Sleep(time.Second)
		if store.writes > 0 {
			t.Errorf("%d writes without callers", store.writes)
		}
		handle.WantCold(time.Now())
		time.Sleep(time.Second / 2)
		if !service.Take(handle) {
			t.Error("no pass was claimed for a replica with demand")
		}
		time.Sleep(3 * time.Second)
		for range 50 {
			if !service.Take(handle) {
				t.Fatal("a request to a warm replica was refused")
			}
		}
	})
}

// TestNodeWithoutAStoreSendsNothingToColdReplicas covers storage nodes, which run without a store.
func TestNodeWithoutAStoreSendsNothingToColdReplicas(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		service, directory, routes := newSingleNode(newMemoryStore())
		service.options.Store = nil
		routes.Offer(tableOf(1, 23))
		directory.Replace(nil)
		service.Start()
		defer service.Stop()
		directory.Update([]replica.Info{{ID: "r", Service: "s"}}, nil)
		for range 20 {
			if handle := directory.View().Find("r"); handle.ColdRoom(time.Now()) || service.Take(handle) {
				t.Fatal("a request was admitted")
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
