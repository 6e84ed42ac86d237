package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name      string
		kind      route.Kind
		resumable bool
		scripts   map[string]replicatest.Script
		status    int
		body      string
		runs      int
		aborted   bool
	}{
		{"passed on", route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(201, replicatest.Signed, "made")}, 201, "made", 1, false},
		{"refused, then run elsewhere", route.NotRepeatable, false,
			map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Answer(200, replicatest.Signed, "ok")}, 200, "ok", 2, false},
		{"not reached, then run elsewhere", route.NotRepeatable, false,
			map[string]replicatest.Script{"b": replicatest.Answer(200, replicatest.Signed, "ok")}, 200, "ok", 1, false},
		{"refused by all", route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Refuse()}, 503, "", 2, false},
		{"no replica reached", route.Repeatable, false, nil, 503, "", 0, false},
		{"lost, not repeatable", route.NotRepeatable, false,
			map[string]replicatest.Script{"a": replicatest.Lose(), "b": replicatest.Answer(200, replicatest.Signed, "ok")}, 502, "", 1, false},
		{"lost, repeatable", route.Repeatable, false,
			map[string]replicatest.Script{"a": replicatest.Lose(), "b": replicatest.Answer(200, replicatest.Signed, "ok")}, 200, "ok", 2, false},
		{"replica's own failure passes unchanged", route.NotRepeatable, false,
			map[string]replicatest.Script{"a": replicatest.Answer(500, replicatest.Signed, "broken"), "b": replicatest.Answer(200, replicatest.Signed, "ok")}, 500, "broken", 1, false},
		{"replica's own failure, repeatable", route.Repeatable, false,
			map[string]replicatest.Script{"a": replicatest.Answer(500, replicatest.Signed, "broken"), "b": replicatest.Answer(200, replicatest.Signed, "ok")}, 200, "ok", 2, false},
		{"unsigned success is none", route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, "", "rot")}, 502, "", 1, false},
		{"garbage", route.NotRepeatable, false, map[string]replicatest.Script{"a": func(connection net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(connection, "no answer at all\r\n\r\n")
			return false
		}}, 502, "", 1, false},
		{"cut body is not whole", route.NotRepeatable, false, map[string]replicatest.Script{"a": func(connection net.Conn, request *http.Request) bool {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: 10\r\n\r\nhalf", request.Header.Get("X-Id"), replicatest.Signed)
			return false
		}}, 502, "", 1, false},
		{"answer to another request is passed over", route.NotRepeatable, false, map[string]replicatest.Script{"a": func(connection net.Conn, request *http.Request) bool {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: other\r\n%sContent-Length: 5\r\n\r\nwrong", replicatest.Signed)
			return replicatest.Answer(200, replicatest.Signed, "right")(connection, request)
		}}, 200, "right", 1, false},
		{"stream", route.Stream, false, map[string]replicatest.Script{"a": replicatest.Stream("s1", true, false, eventOne, eventTwo+eventThree)}, 200, eventOne + eventTwo + eventThree, 1, false},
		{"stream resumed behind the last whole event", route.Stream, true,
			map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne, eventTwo+"id: 3\nda"), "b": replicatest.Stream("s2", true, false, eventThree)},
			200, eventOne + eventTwo + eventThree, 2, false},
		{"stream resumed before an event id that no header holds", route.Stream, true,
			map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne, "id: 2\x01\ndata: b\n\n"), "b": replicatest.Stream("s2", true, false, eventTwo)},
			200, eventOne + eventTwo, 2, false},
		{"stream not resumable is broken off", route.Stream, false,
			map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Stream("s2", true, false, eventTwo)}, 200, eventOne, 1, true},
		{"stream resumed as often as attempts allow", route.Stream, true,
			map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Stream("s2", false, false, eventTwo)}, 200, eventOne + eventTwo, 2, true},
		{"resume that fails is broken off", route.Stream, true,
			map[string]replicatest.Script{"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Answer(500, replicatest.Signed, "broken")}, 200, eventOne, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, test.kind, test.resumable, test.scripts)
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Code != test.status || aborted != test.aborted {
					t.Errorf("status %d, aborted %t; want %d, %t", recorded.Code, aborted, test.status, test.aborted)
				}
				if test.body != "" && recorded.Body.String() != test.body {
					t.Errorf("body %q, want %q", recorded.Body, test.body)
				}
				if runs := len(edge.replicas.Requests()); runs != test.runs {
					t.Errorf("%d requests reached replicas, want %d", runs, test.runs)
				}
				ownFailure := recorded.Code >= 500 && recorded.Header().Get("X-Signature") == ""
				if ownFailure && recorded.Code == 503 && recorded.Header().Get("Retry-After") == "" {
					t.Error("a 503 has no Retry-After")
				}
			})
		})
	}
}

func TestResumedStreamKeepsTheFirstHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
			"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Stream("s2", true, false, eventTwo),
		})
		recorded, _ := edge.call(nil)
		edge.replicas.CloseAll()
		if signature := recorded.Header().Get("X-Signature"); signature != "s1" {
			t.Errorf("signature is %q, want that of the first replica", signature)
		}
		if resumed := edge.replicas.Requests()[1].Header.Get("Last-Event-Id"); resumed != "1" {
			t.Errorf("resumed behind %q, want 1", resumed)
		}
	})
}

func TestRequestAsTheReplicaGetsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, replicatest.Signed, "")})
		edge.call(func(request *http.Request) {
			request.Header.Set("Connection", "close, X-Hop")
			request.Header.Set("X-Hop", "1")
			request.Header.Set("X-Kept", "2")
		})
		edge.replicas.CloseAll()
		got := edge.replicas.Requests()[0]
		if got.Method != http.MethodPost || got.RequestURI != "/p/x?q=1" || got.Host != "h.example" || edge.replicas.Bodies()[0] != "body" {
			t.Errorf("request changed: %s %s %s %q", got.Method, got.RequestURI, got.Host, edge.replicas.Bodies()[0])
		}
		for name, want := range map[string]string{"X-Id": "id-1", "X-Instance": "a", "X-Kept": "2", "X-Hop": "", "Connection": ""} {
			if value := got.Header.Get(name); value != want {
				t.Errorf("header %s is %q, want %q", name, value, want)
			}
		}
		// The route allows 4 s, the caller 5 s.
		if left, err := strconv.Atoi(got.Header.Get("X-Deadline")); err != nil || left > 4000 || left < 3900 {
			t.Errorf("deadline is %q", got.Header.Get("X-Deadline"))
		}
	})
}

func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Hang()})
		began := time.Now()
		recorded, _ := edge.call(nil)
		edge.replicas.CloseAll()
		if took := time.Since(began); recorded.Code != http.StatusGatewayTimeout || took != 4*time.Second {
			t.Errorf("status %d after %s, want 504 after 4s", recorded.Code, took)
		}
	})
}

func TestSilentReplicaIsLeftForAnother(t *testing.T) {
	for _, test := range []struct {
		name       string
		script     replicatest.Script
		body       string
		maxElapsed time.Duration
	}{
		{"before the first event", replicatest.Hang(), eventTwo, time.Second},
		{"between events", replicatest.Stream("s1", false, true, eventOne), eventOne + eventTwo, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": test.script, "b": replicatest.Stream("s2", true, false, eventTwo)})
				began := time.Now()
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Body.String() != test.body || aborted || time.Since(began) > test.maxElapsed {
					t.Errorf("body %q, aborted %t after %s", recorded.Body, aborted, time.Since(began))
				}
			})
		})
	}
}

func TestRejectionsByTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, replicatest.Signed, "")})
		for _, test := range []struct {
			name   string
			change func(*http.Request)
			status int
		}{
			{"no route", func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
			{"body too large", func(r *http.Request) {
				r.ContentLength = 2000
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
			}, http.StatusRequestEntityTooLarge},
			{"body of unknown length too large", func(r *http.Request) {
				r.ContentLength = -1
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
			}, http.StatusRequestEntityTooLarge},
		} {
			if recorded, _ := edge.call(test.change); recorded.Code != test.status {
				t.Errorf("%s: status %d, want %d", test.name, recorded.Code, test.status)
			}
		}
		edge.Handler.routes = route.NewHolder()
		recorded, _ := edge.call(nil)
		if recorded.Code != http.StatusServiceUnavailable || recorded.Header().Get("Retry-After") == "" {
			t.Errorf("without a configuration: status %d, Retry-After %q", recorded.Code, recorded.Header().Get("Retry-After"))
		}
		edge.replicas.CloseAll()
	})
}

func TestDrainingReplicaGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Answer(200, replicatest.Signed, "a"), "b": replicatest.Answer(200, replicatest.Signed, "b"),
		})
		draining := *edge.directory.View().Find("a").Info()
		draining.Draining = true
		edge.directory.Update([]replica.Info{draining}, nil)
		recorded, _ := edge.call(nil)
		edge.replicas.CloseAll()
		if recorded.Body.String() != "b" {
			t.Errorf("answered by %q, want b", recorded.Body)
		}
	})
}

func TestKeptConnectionIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Answer(200, replicatest.Signed+"Keep-Alive: timeout=5\r\n", "one"),
		})
		edge.call(nil)
		edge.call(nil)
		if connections := edge.replicas.Connections(); connections != 1 {
			t.Errorf("%d connections for two requests, want 1", connections)
		}
		// The connection is not used beyond the idle timeout that the replica announced.
		time.Sleep(10 * time.Second)
		edge.call(nil)
		if connections := edge.replicas.Connections(); connections != 2 {
			t.Errorf("%d connections after the idle time, want 2", connections)
		}
		edge.replicas.CloseAll()
	})
}

// TestCallerThatLeavesStopsTheReplica: the connection to the replica is closed as soon as the caller disconnects, before the header and
// within a stream.
func TestCallerThatLeavesStopsTheReplica(t *testing.T) {
	for _, test := range []struct {
		name   string
		script replicatest.Script
	}{
		{"before the head", replicatest.Hang()},
		{"within a stream", replicatest.Stream("s1", true, true, eventOne)},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stopped time.Time
				edge := newEdgeUnderTest(t, route.Stream, false, map[string]replicatest.Script{
					"a": func(connection net.Conn, request *http.Request) bool {
						keep := test.script(connection, request)
						stopped = time.Now()
						return keep
					},
				})
				ctx, leave := context.WithCancel(t.Context())
				left := time.Now().Add(time.Second)
				time.AfterFunc(time.Second, leave)
				edge.call(func(request *http.Request) { *request = *request.WithContext(ctx) })
				synctest.Wait()
				if !stopped.Equal(left) {
					t.Errorf("the replica's connection ended %s after the caller disconnected", stopped.Sub(left))
				}
				if runs := len(edge.replicas.Requests()); runs != 1 {
					t.Errorf("%d requests reached replicas", runs)
				}
				edge.replicas.CloseAll()
			})
		})
	}
}
