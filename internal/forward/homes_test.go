package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

// confine sets a configuration that limits the route, and the tenant of key-1, to regions. "a" is in north, "b" in south.
func (e *edgeUnderTest) confine(routeRegions, tenantRegions region.Set) {
	before := e.routes.Table()
	confined := *before.Routes[0]
	confined.Regions = routeRegions
	table := route.NewTable(before.Version+1, []*route.Route{&confined}, nil, before.Limits)
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{{Tenant: tenant.Tenant{Name: "one", Regions: tenantRegions}, APIKeys: []string{"key-1"}}})
	e.routes.Offer(table)
}

func withKey(request *http.Request) { request.Header.Set("X-Key", "key-1") }

func TestRequestsKeepToTheirHomes(t *testing.T) {
	north, south, anywhere := region.NewSet("north"), region.NewSet("south"), region.Set{}
	atNorth, atSouth := replicatest.Answer(200, replicatest.Signed, "north"), replicatest.Answer(200, replicatest.Signed, "south")
	for _, test := range []struct {
		name          string
		route, tenant region.Set
		kind          route.Kind
		scripts       map[string]replicatest.Script
		status        int
		body          string
		runs          int
	}{
		{"no homes", anywhere, anywhere, route.NotRepeatable, map[string]replicatest.Script{"a": atNorth, "b": atSouth}, 200, "north", 1},
		{"the route's home is far", south, anywhere, route.NotRepeatable, map[string]replicatest.Script{"a": atNorth, "b": atSouth}, 200, "south", 1},
		{"the tenant's home is far", anywhere, south, route.NotRepeatable, map[string]replicatest.Script{"a": atNorth, "b": atSouth}, 200, "south", 1},
		{"refused at home is not sent abroad", north, anywhere, route.NotRepeatable, map[string]replicatest.Script{"a": replicatest.Refuse(), "b": atSouth}, 503, "", 1},
		{"lost at home is not repeated abroad", north, anywhere, route.Repeatable, map[string]replicatest.Script{"a": replicatest.Lose(), "b": atSouth}, 502, "", 1},
		{"nothing in common", north, south, route.NotRepeatable, map[string]replicatest.Script{"a": atNorth, "b": atSouth}, 503, "", 0},
		{"no replicas at home", region.NewSet("west"), anywhere, route.NotRepeatable, map[string]replicatest.Script{"a": atNorth, "b": atSouth}, 503, "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, test.kind, false, test.scripts)
				edge.confine(test.route, test.tenant)
				recorded, _ := edge.call(withKey)
				edge.replicas.CloseAll()
				if recorded.Code != test.status {
					t.Errorf("status %d, want %d", recorded.Code, test.status)
				}
				if test.body != "" && recorded.Body.String() != test.body {
					t.Errorf("served in %s, want %s", recorded.Body, test.body)
				}
				if test.status == http.StatusServiceUnavailable && recorded.Header().Get("Retry-After") == "" {
					t.Error("a 503 has no Retry-After")
				}
				if runs := len(edge.replicas.Requests()); runs != test.runs {
					t.Errorf("%d requests reached replicas, want %d", runs, test.runs)
				}
			})
		})
	}
}

// TestResumedStreamKeepsToItsHomes: a stream that is interrupted in its home region is not resumed elsewhere, also if the configuration
// has narrowed its homes since its start.
func TestResumedStreamKeepsToItsHomes(t *testing.T) {
	for _, narrowed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var edge *edgeUnderTest
			edge = newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
				"a": func(connection net.Conn, request *http.Request) bool {
					if narrowed {
						edge.confine(region.NewSet("north"), region.Set{})
					}
					return replicatest.Stream("s1", false, false, eventOne)(connection, request)
				},
				"b": replicatest.Stream("s2", true, false, eventTwo),
			})
			if narrowed {
				edge.confine(region.NewSet("north", "south"), region.Set{})
			} else {
				edge.confine(region.NewSet("north"), region.Set{})
			}
			recorded, aborted := edge.call(withKey)
			edge.replicas.CloseAll()
			if !aborted || recorded.Body.String() != eventOne || len(edge.replicas.Requests()) != 1 {
				t.Errorf("narrowed %t: aborted %t after %q, %d requests reached replicas", narrowed, aborted, recorded.Body, len(edge.replicas.Requests()))
			}
		})
	}
}

// TestConfinedRequestIsNotHeldInVain: a request without a replica in its homes is rejected at once, however loaded the others are.
func TestConfinedRequestIsNotHeldInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, nil)
		edge.gate = NewGate(edge.directory, &fakeDemand{others: loadshare.Demand{InUse: 1000}, known: true})
		edge.confine(region.NewSet("west"), region.Set{})
		began := time.Now()
		if recorded, _ := edge.call(withKey); recorded.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d", recorded.Code)
		}
		if held := time.Since(began); held != 0 {
			t.Errorf("rejected after %s", held)
		}
	})
}

// TestGateLetsThroughWhatNeedNotWait: a request whose homes have a free slot bypasses those that wait for the whole service.
func TestGateLetsThroughWhatNeedNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 1000}, true)
		gate.enter("first", inTime)
		began := time.Now()
		passesAfter := 100 * time.Millisecond
		request := gateRequest{service: "s", deadline: began.Add(4 * time.Second), mayBypass: func(now time.Time) bool { return now.Sub(began) >= passesAfter }}
		leave := gate.Enter(context.Background(), request)
		if waited := time.Since(began); waited < passesAfter || waited > passesAfter+gateCheckInterval {
			t.Errorf("held for %s, want %s", waited, passesAfter)
		}
		leave()
		gate.leave("first")
		gate.running.Wait()
	})
}
