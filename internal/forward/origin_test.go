package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/origin"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// fakeOrigins are the Origins that all edges of a test share.
type fakeOrigins struct {
	recorded map[string]replica.Origin
	err      error
}

func (f *fakeOrigins) Record(requestID string, began replica.Origin, _ time.Duration) {
	f.recorded[requestID] = began
}

func (f *fakeOrigins) Find(_ context.Context, requestID string) (replica.Origin, error) {
	if f.err != nil {
		return replica.Origin{}, f.err
	}
	began, found := f.recorded[requestID]
	if !found {
		return replica.Origin{}, origin.ErrUnknown
	}
	return began, nil
}

// newVersionedEdge returns an edge with a replica of v1, "a", and one of v2, "b".
func newVersionedEdge(t *testing.T, origins Origins, scripts map[string]replicatest.Script) *edgeUnderTest {
	t.Helper()
	edge := newEdgeUnderTest(t, route.Stream, true, scripts)
	edge.origins = origins
	info := *edge.directory.View().Find("b").Info()
	edge.directory.Update(nil, []string{"b"})
	edge.addReplica("b", "v2", info.Address.Port(), scripts["b"])
	return edge
}

// setEntry changes the entry of a replica.
func (e *edgeUnderTest) setEntry(id string, change func(*replica.Info)) {
	info := *e.directory.View().Find(id).Info()
	change(&info)
	e.directory.Update([]replica.Info{info}, nil)
}

// addReplica adds a replica like "b" in another zone.
func (e *edgeUnderTest) addReplica(id, version string, port uint16, script replicatest.Script) {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	e.replicas.SetScript(address, script)
	e.directory.Update([]replica.Info{{ID: id, Service: "s", Version: version, Zone: "far", Address: address, Slots: 8}}, nil)
}

// resume sends the request by which a caller takes up the stream that began with the request first, behind event 1.
func resume(first string) func(*http.Request) {
	return func(request *http.Request) {
		request.Header.Set("X-Id", "id-2")
		request.Header.Set("Last-Event-Id", "1")
		if first != "" {
			request.Header.Set("X-Resumes", first)
		}
	}
}

// TestStreamOfACrashedReplicaIsNotResumedAtAnotherVersion: within one answer, only a replica of the version that began the stream goes on.
func TestStreamOfACrashedReplicaIsNotResumedAtAnotherVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		third   string
		body    string
		aborted bool
	}{
		{"no other replica of its version", "v2", eventOne, true},
		{"another replica of its version", "v1", eventOne + eventThree, false},
		{"a replica without a version", "", eventOne, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newVersionedEdge(t, nil, map[string]replicatest.Script{
					"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Stream("s2", true, false, eventTwo),
				})
				edge.addReplica("c", test.third, 1002, replicatest.Stream("s3", true, false, eventThree))
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Body.String() != test.body || aborted != test.aborted {
					t.Errorf("body %q, aborted %t; want %q, %t", recorded.Body, aborted, test.body, test.aborted)
				}
			})
		})
	}
}

// TestStreamCountsAsOfTheVersionAtItsBegin: the version is that of the run's replica when the run began, whatever its entry tells later.
func TestStreamCountsAsOfTheVersionAtItsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var edge *edgeUnderTest
		origins := &fakeOrigins{recorded: map[string]replica.Origin{}}
		edge = newVersionedEdge(t, origins, map[string]replicatest.Script{"b": replicatest.Stream("s2", true, false, eventTwo)})
		breaksOff := replicatest.Stream("s1", false, false, eventOne)
		edge.replicas.Scripts[edge.directory.View().Find("a").Info().Address] = func(connection net.Conn, request *http.Request) bool {
			edge.setEntry("a", func(info *replica.Info) { info.Version = "v2" })
			return breaksOff(connection, request)
		}
		recorded, aborted := edge.call(nil)
		edge.replicas.CloseAll()
		if recorded.Body.String() != eventOne || !aborted || origins.recorded["id-1"].Version != "v1" {
			t.Errorf("body %q, aborted %t, recorded %+v", recorded.Body, aborted, origins.recorded)
		}
	})
}

// TestStreamTakenUpAtAnotherEdgeGoesOnAtItsVersion: over a caller's attempts, only a replica of the version that began the stream goes on.
func TestStreamTakenUpAtAnotherEdgeGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origins := &fakeOrigins{recorded: map[string]replica.Origin{}}
		first := newVersionedEdge(t, origins, map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne)})
		first.call(nil)
		first.replicas.CloseAll()
		second := newVersionedEdge(t, origins, map[string]replicatest.Script{
			"a": replicatest.Stream("s1", true, false, eventTwo), "b": replicatest.Stream("s2", true, false, eventTwo),
		})
		second.setEntry("a", func(info *replica.Info) { info.Draining = true })
		second.addReplica("c", "v1", 1002, replicatest.Stream("s3", true, false, eventThree))
		recorded, aborted := second.call(resume("id-1"))
		second.replicas.CloseAll()
		if recorded.Code != 200 || aborted || recorded.Body.String() != eventThree {
			t.Errorf("status %d, aborted %t, body %q; want the events of v1", recorded.Code, aborted, recorded.Body)
		}
		if origins.recorded["id-2"].Version != "v1" {
			t.Errorf("recorded %+v, want the resumed stream to be of v1", origins.recorded)
		}
	})
}

// TestStreamThatCannotGoOnIsRefusedAtOnce: a stream of unknown origin, or without a replica of its version, is not begun anew or resumed by
// guess; the refusal is true, at once, and says when to come back.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	known := map[string]replica.Origin{
		"id-1": {Service: "s", Version: "v1"}, "gone": {Service: "s", Version: "v0"}, "elsewhere": {Service: "t", Version: "v1"},
		"unlabelled": {Service: "s"}, "contradicted": {Service: "s", Version: "v1", Incarnation: replica.KeyOf("b")},
	}
	for _, test := range []struct {
		name, resumes, reason string
		err                   error
	}{
		{"no request is named", "", reasonOriginUnknown, nil},
		{"nobody knows it", "id-0", reasonOriginUnknown, nil},
		{"nobody answers", "id-1", reasonOriginUnanswered, origin.ErrUnanswered},
		{"its version is gone", "gone", reasonNoReplicaOfOrigin, nil},
		{"the route leads to another service", "elsewhere", reasonNoReplicaOfOrigin, nil},
		{"its version was not known", "unlabelled", reasonNoReplicaOfOrigin, nil},
		{"its replica has another version here", "contradicted", reasonOriginUnknown, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole := replicatest.Stream("s1", true, false, eventTwo)
				edge := newVersionedEdge(t, &fakeOrigins{recorded: known, err: test.err}, map[string]replicatest.Script{"a": whole, "b": whole})
				began := time.Now()
				recorded, _ := edge.call(resume(test.resumes))
				edge.replicas.CloseAll()
				if recorded.Code != http.StatusServiceUnavailable || recorded.Header().Get("Retry-After") == "" || recorded.Body.String() != test.reason+"\n" {
					t.Errorf("status %d, Retry-After %q, body %q", recorded.Code, recorded.Header().Get("Retry-After"), recorded.Body)
				}
				if len(edge.replicas.Requests()) > 0 || time.Since(began) > 0 {
					t.Errorf("%d runs, answered after %s", len(edge.replicas.Requests()), time.Since(began))
				}
			})
		})
	}
}

// unconfirmedVersions are the SoleVersions of an edge that cannot show how old its list is.
type unconfirmedVersions struct{}

func (unconfirmedVersions) SoleVersion(context.Context, string, time.Duration) string { return "" }

// TestStreamOfACallerThatDoesNotNameItsRequest: such a stream goes on only where its service has had one version for as long as it may have
// lasted, and the edge hears of changes.
func TestStreamOfACallerThatDoesNotNameItsRequest(t *testing.T) {
	const routeTimeout = 4 * time.Second
	for _, test := range []struct {
		name    string
		prepare func(edge *edgeUnderTest)
		want    int
	}{
		{"one version", func(*edgeUnderTest) { time.Sleep(2 * routeTimeout) }, 200},
		{"the edge has just started", func(*edgeUnderTest) { time.Sleep(routeTimeout) }, 503},
		{"the edge does not hear of changes", func(edge *edgeUnderTest) {
			time.Sleep(2 * routeTimeout)
			edge.listCurrent = func() bool { return false }
		}, 503},
		{"the list is not known to be newer than the request", func(edge *edgeUnderTest) {
			time.Sleep(2 * routeTimeout)
			edge.versions = unconfirmedVersions{}
		}, 503},
		{"a second version", func(edge *edgeUnderTest) {
			time.Sleep(2 * routeTimeout)
			edge.addReplica("c", "v2", 1002, replicatest.Hang())
		}, 503},
		{"a replica without a version", func(edge *edgeUnderTest) {
			time.Sleep(2 * routeTimeout)
			edge.addReplica("c", "", 1002, replicatest.Hang())
		}, 503},
		{"a second version was there a moment ago", func(edge *edgeUnderTest) {
			edge.addReplica("c", "v2", 1002, replicatest.Hang())
			time.Sleep(2 * routeTimeout)
			edge.directory.Update(nil, []string{"c"})
			time.Sleep(routeTimeout)
		}, 503},
		{"a second version was there long ago", func(edge *edgeUnderTest) {
			edge.addReplica("c", "v2", 1002, replicatest.Hang())
			edge.directory.Update(nil, []string{"c"})
			time.Sleep(2 * routeTimeout)
		}, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": replicatest.Stream("s1", true, false, eventTwo)})
				edge.origins, edge.listCurrent = &fakeOrigins{recorded: map[string]replica.Origin{}}, func() bool { return true }
				test.prepare(edge)
				recorded, _ := edge.call(resume(""))
				edge.replicas.CloseAll()
				if recorded.Code != test.want {
					t.Errorf("status %d, want %d: %s", recorded.Code, test.want, recorded.Body)
				}
			})
		})
	}
}

// TestStreamBegunUnderALongerTimeoutIsNotResumedAtAnotherVersion: a stream of a caller that does not name its request lasts for seconds; the
// last replica of its version leaves, and a configuration shortens the route's timeout. It must not go on at the version that remains: neither
// at an edge that has seen this, nor at one that started afterwards.
func TestStreamBegunUnderALongerTimeoutIsNotResumedAtAnotherVersion(t *testing.T) {
	const timeoutBefore, timeoutNow, sinceChange = 4 * time.Second, 500 * time.Millisecond, 1500 * time.Millisecond
	for _, started := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": replicatest.Stream("s1", true, false, eventTwo)})
			edge.origins, edge.listCurrent = &fakeOrigins{recorded: map[string]replica.Origin{}}, func() bool { return true }
			if !started {
				edge.addReplica("old", "v0", 1002, replicatest.Hang())
				time.Sleep(2 * timeoutBefore)
				edge.directory.Update(nil, []string{"old"})
			}
			shortened := *edge.routes.Table().Routes[0]
			shortened.Timeout = timeoutNow
			edge.routes.Offer(route.NewTable(2, []*route.Route{&shortened}, nil, route.Limits{MaxBodyBytes: 1000}))
			time.Sleep(sinceChange)
			recorded, _ := edge.call(resume(""))
			edge.replicas.CloseAll()
			if recorded.Code != http.StatusServiceUnavailable {
				t.Errorf("started=%t: status %d, want 503: %s", started, recorded.Code, recorded.Body)
			}
		})
	}
}

// TestStreamIsNotResumedAtAReplicaThatStartedAgain: a replica that starts again under its ID, with another version, answers before its new entry
// is known; a stream does not go on there, nor where the replica does not tell when it started.
func TestStreamIsNotResumedAtAReplicaThatStartedAgain(t *testing.T) {
	reporting := func(born string, stream replicatest.Script) replicatest.Script {
		return func(connection net.Conn, request *http.Request) bool {
			if request.Method == http.MethodGet {
				return replicatest.Answer(200, "", born)(connection, request)
			}
			return stream(connection, request)
		}
	}
	for born, want := range map[string]string{"7": eventOne + eventTwo, "8": eventOne, "0": eventOne, "no number": eventOne} {
		t.Run(born, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
					"a": replicatest.Stream("s1", false, false, eventOne), "b": reporting(born, replicatest.Stream("s2", true, false, eventTwo)),
				})
				edge.setEntry("b", func(info *replica.Info) { info.Born = 7 })
				edge.report = replica.LoadReport{Path: "/load", Parse: func(body []byte) (replica.Load, error) {
					started, err := strconv.ParseInt(string(body), 10, 64)
					return replica.Load{Born: started}, err
				}}
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Body.String() != want || aborted != (want == eventOne) {
					t.Errorf("body %q, aborted %t; want %q", recorded.Body, aborted, want)
				}
			})
		})
	}
}
