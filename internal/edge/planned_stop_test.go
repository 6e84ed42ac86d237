package edge

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// stopGrace is the grace period of a server under test.
const stopGrace = 8 * time.Second

// stopTable has a route for requests of the given kind, which may take as long as their callers wait.
func stopTable(kind route.Kind) *route.Table {
	return route.NewTable(1, []*route.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Resumable: true, Attempts: 1, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{})
}

// slowScript answers after the given time, or stops when the connection ends.
func slowScript(after time.Duration) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		time.Sleep(after)
		return replicatest.Answer(http.StatusOK, replicatest.Signed, "whole")(connection, request)
	}
}

// stopInBackground stops a server, and returns a channel that is closed when it has stopped.
func stopInBackground(t *testing.T, server *Server) chan struct{} {
	t.Helper()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Stop(t.Context())
	}()
	synctest.Wait()
	return stopped
}

// TestRequestsAtAPlannedStopAreAnswered guards requests that come late in the grace period, or outlast it. They were passed on to a
// replica and then cut off with their connections, without an answer.
func TestRequestsAtAPlannedStopAreAnswered(t *testing.T) {
	const (
		beforeTheStop = -time.Second
		short, long   = 4 * time.Second, 30 * time.Second
	)
	for _, test := range []struct {
		name string
		kind route.Kind
		// sentAt is when the request is sent, since the begin of the stop; takes is how long its replica works.
		sentAt, takes time.Duration
		// deadline is how long the caller waits, in milliseconds.
		deadline string
		status   int
		sent     int
	}{
		{"in flight, answered in time", route.NotRepeatable, beforeTheStop, short, "60000", 200, 1},
		{"in flight, outlasts the grace period", route.NotRepeatable, beforeTheStop, long, "60000", 502, 1},
		{"in flight and repeatable, outlasts the grace period", route.Repeatable, beforeTheStop, long, "60000", 502, 1},
		{"late, ends in time for sure", route.NotRepeatable, 2 * time.Second, short, "4500", 200, 1},
		{"late, might not end in time", route.NotRepeatable, 2 * time.Second, long, "60000", 503, 0},
		{"late and repeatable, ends in time", route.Repeatable, 2 * time.Second, short, "60000", 200, 1},
		{"late and repeatable, does not end in time", route.Repeatable, 2 * time.Second, long, "60000", 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, network, routes := newServerUnderTest(t, slowScript(test.takes))
				routes.Offer(stopTable(test.kind))
				status := make(chan int, 1)
				send := func() { status <- network.getWithin(callers, "/p/x", test.deadline) }
				if test.sentAt < 0 {
					go send()
					time.Sleep(-test.sentAt)
				}
				began := time.Now()
				stopped := stopInBackground(t, server)
				if test.sentAt >= 0 {
					time.Sleep(test.sentAt)
					go send()
				}
				if got := <-status; got != test.status {
					t.Errorf("status %d, want %d", got, test.status)
				}
				<-stopped
				if took := time.Since(began); took > stopGrace {
					t.Errorf("the stop took %s", took)
				}
				network.CloseAll()
				if sent := len(network.Requests()); sent != test.sent {
					t.Errorf("%d requests came to the replica, want %d", sent, test.sent)
				}
			})
		})
	}
}

// TestUnusedConnectionIsAnsweredAtAPlannedStop: a request on a connection that was opened before the listener was closed got no
// answer. Its caller could not know that it had not run.
func TestUnusedConnectionIsAnsweredAtAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, network, routes := newServerUnderTest(t, slowScript(6*time.Second))
		routes.Offer(stopTable(route.NotRepeatable))
		go network.getWithin(callers, "/p/first", "60000")
		connection, err := network.pipes.Dial(context.Background(), callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		synctest.Wait()
		stopped := stopInBackground(t, server)
		time.Sleep(notReadyDelay + time.Second)
		request, _ := http.NewRequest(http.MethodGet, "http://h.example/p/second", nil)
		// The request would end in time: what is refused is any request once the listener is closed.
		request.Header.Set(replicatest.Headers.Deadline, "1000")
		if err := request.Write(connection); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), request)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, headers %v, connection ends: %t", response.StatusCode, response.Header, response.Close)
		}
		<-stopped
		network.CloseAll()
		if sent := len(network.Requests()); sent != 1 {
			t.Errorf("%d requests came to the replica, want the first only", sent)
		}
	})
}
