package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestStreamIsResumedOutsideTheEvacuatedZone: a running stream may finish in the evacuated zone; one that is interrupted resumes in another
// zone, or not at all.
func TestStreamIsResumedOutsideTheEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name string
		zone string
		// complete is set if the first replica sends the whole stream.
		complete bool
		body     string
		aborted  bool
		runs     int
	}{
		{"it ends where it runs", "near", true, eventOne + eventTwo, false, 1},
		{"it breaks off and goes on elsewhere", "near", false, eventOne + eventTwo, false, 2},
		{"it breaks off and the other zone is evacuated", "far", false, eventOne, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var edge *edgeUnderTest
				events := []string{eventOne}
				if test.complete {
					events = append(events, eventTwo)
				}
				edge = newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
					"a": func(connection net.Conn, request *http.Request) bool {
						edge.directory.SetEvacuated(zoneSet(test.zone))
						return replicatest.Stream("s1", test.complete, false, events...)(connection, request)
					},
					"b": replicatest.Stream("s2", true, false, eventTwo),
				})
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Body.String() != test.body || aborted != test.aborted || len(edge.replicas.Requests()) != test.runs {
					t.Errorf("body %q, aborted %t, %d requests", recorded.Body, aborted, len(edge.replicas.Requests()))
				}
			})
		})
	}
}

// limiterFunc implements coldstart.Limiter.
type limiterFunc func(handle *replica.Handle) bool

func (f limiterFunc) Take(handle *replica.Handle) bool { return f(handle) }

func zoneSet(zones ...string) map[string]bool {
	set := map[string]bool{}
	for _, zone := range zones {
		set[zone] = true
	}
	return set
}

// TestRequestOnItsWayGoesElsewhere: the zone is evacuated after the replica was chosen and before anything is sent. The replica does not
// count as failing.
func TestRequestOnItsWayGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Answer(200, replicatest.Signed, "a"), "b": replicatest.Answer(200, replicatest.Signed, "b"),
		})
		edge.Handler.coldStarts = limiterFunc(func(handle *replica.Handle) bool {
			edge.directory.SetEvacuated(zoneSet("near"))
			return true
		})
		recorded, _ := edge.call(nil)
		edge.replicas.CloseAll()
		if recorded.Body.String() != "b" || len(edge.replicas.Requests()) != 1 {
			t.Errorf("answered by %q after %d requests", recorded.Body, len(edge.replicas.Requests()))
		}
		if handle := edge.directory.View().Find("a"); handle.Avoided(time.Now()) || handle.FailureRate() != 0 {
			t.Error("a replica that got no request counts as failing")
		}
	})
}

// TestAllZonesEvacuated: the request is rejected at once, also if it is held at the gate when the last zone is evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	both := zoneSet("near", "far")
	for _, test := range []struct {
		name       string
		prepare    func(*edgeUnderTest)
		maxElapsed time.Duration
	}{
		{"before the request comes", func(edge *edgeUnderTest) { edge.directory.SetEvacuated(both) }, 0},
		{"while it is held back", func(edge *edgeUnderTest) {
			edge.gate.Enter(context.Background(), gateRequest{service: "s", deadline: time.Now().Add(time.Minute)})
			time.AfterFunc(50*time.Millisecond, func() { edge.directory.SetEvacuated(both) })
		}, 50*time.Millisecond + gateCheckInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, replicatest.Signed, "a")})
				edge.Handler.gate = NewGate(edge.directory, &fakeDemand{known: true, others: loadshare.Demand{InUse: 100}})
				for handle := range edge.directory.View().All() {
					handle.SetOthers(replica.Use{Requests: 8}, time.Now())
				}
				test.prepare(edge)
				began := time.Now()
				recorded, _ := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Code != http.StatusServiceUnavailable || !strings.Contains(recorded.Body.String(), reasonEvacuated) {
					t.Errorf("status %d, %q", recorded.Code, recorded.Body)
				}
				if recorded.Header().Get("Retry-After") != "1.000" || time.Since(began) > test.maxElapsed {
					t.Errorf("Retry-After %q after %s", recorded.Header().Get("Retry-After"), time.Since(began))
				}
			})
		})
	}
}

// TestRequestsThatEndInAnEvacuatedZoneTakeNoRoomElsewhere: the gate admits as many requests as the remaining replicas have slots.
func TestRequestsThatEndInAnEvacuatedZoneTakeNoRoomElsewhere(t *testing.T) {
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{{ID: "a", Service: "s", Version: "v1", Zone: "near", Slots: 8}, {ID: "b", Service: "s", Version: "v1", Zone: "far", Slots: 8}})
	now := time.Now()
	directory.View().Find("a").SetOthers(replica.Use{Requests: 8}, now)
	gate := NewGate(directory, &fakeDemand{known: true, others: loadshare.Demand{InUse: 8}})
	for _, test := range []struct {
		name  string
		zones []string
		own   int
		want  bool
	}{
		{"none evacuated", nil, 8, true},
		{"the 8 others run in the evacuated zone", []string{"near"}, 8, true},
		{"more than the slots that are left", []string{"near"}, 12, false},
		{"the zone without requests is evacuated", []string{"far"}, 4, false},
	} {
		directory.SetEvacuated(zoneSet(test.zones...))
		allowed := gate.maxInUse("s", &serviceGate{inUse: test.own}, now)
		if got := allowed >= test.own; got != test.want {
			t.Errorf("%s: %d are allowed, the node has %d", test.name, allowed, test.own)
		}
	}
}
